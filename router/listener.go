package router

import "context"

// Listener accepts client connections whose requests go to the router. A drain shuts it down.
type Listener interface {
	// Shutdown stops accepting for good. Answers close their connections from then on. It returns when no
	// more requests can come, or with an error when ctx ends.
	Shutdown(ctx context.Context) error
}

// DrainableListener is a Listener that can resume accepting, as a cancelled drain needs it. Its methods
// must not wait for clients.
type DrainableListener interface {
	Listener
	// StopAccepting closes the listening sockets, and ends connections without a request.
	StopAccepting()
	// ResumeAccepting undoes StopAccepting. It returns an error where nothing can be accepted again.
	ResumeAccepting() error
	// Connections is the number of open client connections, and of those with a request in progress.
	Connections() (open, busy int)
}

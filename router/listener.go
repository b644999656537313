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

// FirstRequestListener is a Listener that knows of clients that have connected and may be about to send their first
// request. A drain is not over while there are some: they could not know of it as they connected.
type FirstRequestListener interface {
	Listener
	// PendingFirstRequests is the number of connections accepted before the drain, if there is one, that have had
	// no response, and on which a first request is in progress or may still come.
	PendingFirstRequests() int
}

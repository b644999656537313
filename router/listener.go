package router

import "context"

// Listener accepts client connections whose requests go to the router. A drain shuts it down.
type Listener interface {
	// Shutdown stops accepting connections for good. From then on, connections are closed after their next answer. It
	// returns when no more requests can arrive, or with an error when ctx ends.
	Shutdown(ctx context.Context) error
}

// DrainableListener is a Listener that can resume accepting connections after a drain was cancelled. Its methods must
// not wait for clients.
type DrainableListener interface {
	Listener
	// StopAccepting closes the listening sockets, and the connections without a request.
	StopAccepting()
	// ResumeAccepting undoes StopAccepting. It returns an error if the listener can't accept connections again.
	ResumeAccepting() error
	// Connections returns the number of open client connections, and how many of them have a request in progress.
	Connections() (open, busy int)
}

// FirstRequestListener is a Listener that counts clients that have connected and may be about to send their first
// request. A drain waits for them, because they could not know of the drain when they connected.
type FirstRequestListener interface {
	Listener
	// PendingFirstRequests is the number of connections that were accepted before the drain, if there is one, that
	// have had no response, and on which a first request is in progress or may still arrive.
	PendingFirstRequests() int
}

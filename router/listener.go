package router

import "context"

// Listener accepts client connections and passes their requests to the router. A drain shuts the listener down.
type Listener interface {
	// Shutdown stops accepting connections for good. Each open connection is closed after its next answer. Shutdown
	// returns when no more requests can arrive. If ctx ends first, it returns an error.
	Shutdown(ctx context.Context) error
}

// DrainableListener is a Listener that can accept connections again after a cancelled drain. Its methods must not
// wait for clients.
type DrainableListener interface {
	Listener
	// StopAccepting closes the listening sockets and the connections without a request.
	StopAccepting()
	// ResumeAccepting undoes StopAccepting. It returns an error if the listener cannot accept connections again.
	ResumeAccepting() error
	// Connections returns the number of open client connections. busy is the number of connections with a request in
	// progress.
	Connections() (open, busy int)
}

// FirstRequestListener is a Listener that counts clients that have connected and may be about to send their first
// request. A drain waits for these clients, because they connected before they could know of the drain.
type FirstRequestListener interface {
	Listener
	// PendingFirstRequests returns the number of connections that have had no response, and whose first request is in
	// progress or may still arrive. During a drain, it counts only connections that were accepted before the drain.
	PendingFirstRequests() int
}

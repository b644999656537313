package router

import (
	"context"
	"time"

	"cobaltward/policy"
)

// Transport makes attempts at servers. All methods must be safe for concurrent use. A transport may carry many
// attempts over one connection.
type Transport interface {
	// Attempt sends r once to server, which is the ID of an endpoint in an earlier Update. It waits for the result
	// until ctx ends, and never retries. Result.Code must not claim more than is known. An attempt whose last byte was
	// written may have run, unless the server reports otherwise.
	//
	// Attempt must not write any bytes once one of these conditions holds: ctx has ended or its deadline has passed;
	// the server has been draining for half of the drain grace of the settings; the time of SendDeadlineContext has
	// come; AbandonableContext reports that the attempt is abandoned.
	Attempt(ctx context.Context, server string, r *Request) Result
	// Configure passes the settings in force to the transport. The router calls it at the start and at each reload.
	Configure(s policy.Settings)
	// Update applies a change of the endpoint list. It must not block.
	Update(u EndpointUpdate)
	// CloseIdle closes the idle connections to a server. It must not block.
	CloseIdle(server string)
	// Close releases all resources. It is called after the last Attempt has returned.
	Close()
}

// Result is the result of an attempt.
type Result struct {
	Code       policy.Code
	Answer     Answer    // set if Code is policy.OK
	LoadReport []float64 // in the order of Settings.LoadReportFields; nil: no load report
}

// SendDeadlineContext is implemented by the contexts that Transport.Attempt receives.
type SendDeadlineContext interface {
	// SendBy returns the time from which the attempt must not be written, because servers may have forgotten its
	// idempotency key. It returns the zero time if there is no limit.
	SendBy() time.Time
}

// AbandonableContext is implemented by the contexts that Transport.Attempt receives.
type AbandonableContext interface {
	// Abandoned reports whether the request is answered or its client has disconnected. If so, no further bytes may be
	// written.
	Abandoned() bool
}

// WriteGuardContext is implemented by the contexts that Transport.Attempt receives. It combines the decision to write
// and the write into one step. This is necessary because a rejection promises the client that no attempt begins after
// the rejection.
type WriteGuardContext interface {
	// BeginWrite reports whether bytes of the attempt may be written. If BeginWrite returns true, the transport must
	// call EndWrite once the write has ended or was given up. A rejection of the request is withheld until EndWrite,
	// for a limited time.
	BeginWrite() bool
	EndWrite()
}

// AfterFuncContext is implemented by the contexts that Transport.Attempt receives. context.AfterFunc looks for this
// method. A direct call avoids the cost of that search.
type AfterFuncContext interface {
	// AfterFunc calls f in its own goroutine once the context has ended. stop prevents the call. stop returns false
	// if f was started or stopped before.
	AfterFunc(f func()) (stop func() bool)
}

// ConnectionCounter is implemented by transports that count their connections.
type ConnectionCounter interface {
	// Conns returns the number of open connections to servers.
	Conns() int
}

// WriteCounter is implemented by transports that count written attempts.
type WriteCounter interface {
	// Written returns the number of completely written attempts since the start.
	Written() uint64
}

// serverConnections returns the number of connections of t to servers; 0 if t does not count them.
func serverConnections(t Transport) int {
	if counter, ok := t.(ConnectionCounter); ok {
		return counter.Conns()
	}
	return 0
}

// attemptsWritten returns the number of completely written attempts of t; 0 if t does not count them.
func attemptsWritten(t Transport) uint64 {
	if counter, ok := t.(WriteCounter); ok {
		return counter.Written()
	}
	return 0
}

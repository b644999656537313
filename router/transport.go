package router

import (
	"context"
	"time"

	"cobaltward/policy"
)

// Transport makes attempts at servers. All methods must be safe for concurrent use; a transport may carry
// many attempts over one connection.
type Transport interface {
	// Attempt sends r once to a server that an earlier Update has named, and waits for the result, at most until ctx
	// ends. It never retries. Result.Code must not claim more than is known: an attempt whose last byte was written
	// may have run, unless the server reports otherwise.
	//
	// No bytes may be written once ctx has ended or its deadline has passed, once the server has been draining for
	// half of the drain grace of the settings, from the time that ctx reports by SendDeadlineContext, or once ctx
	// reports by AbandonableContext that the attempt is abandoned.
	Attempt(ctx context.Context, server string, r *Request) Result
	// Configure passes the settings in force to the transport, at the start and at each reload.
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
	LoadReport []float64 // in the order of Settings.Report; nil if the server sent no load report
}

// SendDeadlineContext is implemented by the contexts that Transport.Attempt receives.
type SendDeadlineContext interface {
	// SendBy is the time from which the attempt must not be written, because servers may have forgotten its
	// idempotency key; zero if there is no such time.
	SendBy() time.Time
}

// AbandonableContext is implemented by the contexts that Transport.Attempt receives.
type AbandonableContext interface {
	// Abandoned reports whether the request is answered, or its client has disconnected. Bytes that are not written
	// yet must not be written then.
	Abandoned() bool
}

// WriteGuardContext is implemented by the contexts that Transport.Attempt receives. It combines the decision to write
// and the write into one step: a rejection promises the client that no attempt begins after it.
type WriteGuardContext interface {
	// BeginWrite reports whether bytes of the attempt may be written. If so, EndWrite must be called once they are
	// written, or are not going to be; until then a rejection of the request is withheld.
	BeginWrite() bool
	EndWrite()
}

// AfterFuncContext is implemented by the contexts that Transport.Attempt receives. context.AfterFunc looks for this
// method; calling the method directly avoids the cost of that.
type AfterFuncContext interface {
	// AfterFunc runs f in a goroutine of its own once the context has ended. stop prevents that; it returns false if f
	// was started or stopped before.
	AfterFunc(f func()) (stop func() bool)
}

// ConnectionCounter is implemented by transports that count their connections.
type ConnectionCounter interface {
	// Conns is the number of open connections to servers.
	Conns() int
}

// WriteCounter is implemented by transports that count the attempts they have written.
type WriteCounter interface {
	// Written is the number of attempts that were written completely since the start.
	Written() uint64
}

// serverConnections is the number of connections to servers; 0 if the transport does not count them.
func serverConnections(t Transport) int {
	if counter, ok := t.(ConnectionCounter); ok {
		return counter.Conns()
	}
	return 0
}

// attemptsWritten is the number of attempts written completely; 0 if the transport does not count them.
func attemptsWritten(t Transport) uint64 {
	if counter, ok := t.(WriteCounter); ok {
		return counter.Written()
	}
	return 0
}

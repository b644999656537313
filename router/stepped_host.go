package router

import (
	"context"
	"errors"
	"time"

	"cobaltward/policy"
)

// AttemptHost makes the attempts of a Stepped engine. Its methods must not call the engine.
type AttemptHost interface {
	// Launch starts attempt. The host must report the end of attempt once by Stepped.FinishAttempt, also after
	// Cancel.
	Launch(attempt Attempt)
	// Cancel is called when the result of attempt is no longer needed, or when the time of attempt is up.
	Cancel(attempt Attempt)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
}

// Attempt is one attempt of a Stepped engine. Two equal values are the same attempt.
type Attempt struct {
	Request  *Request // must not be changed
	Number   int      // 0 for the first attempt of the request
	Server   string
	Deadline time.Duration // end of the attempt, counted from the start of the engine
	SendBy   time.Duration // time from which the attempt must not be written (see SendDeadlineContext); 0: none
	attempt  *attempt
}

// Expired reports whether the attempt was cancelled because its time was up.
func (a Attempt) Expired() bool { return errors.Is(a.attempt.ctx.Err(), context.DeadlineExceeded) }

func newAttempt(a *attempt) Attempt {
	public := Attempt{
		Request:  &a.request.req,
		Number:   a.number,
		Server:   a.server,
		Deadline: a.expiry.due - timeOrigin,
		attempt:  a,
	}
	if a.sendBy > 0 {
		public.SendBy = a.sendBy - timeOrigin
	}
	return public
}

// hostTransport passes the attempts of a Stepped engine to its host.
type hostTransport struct {
	Transport // nil: Attempt and Close are never called
	host      AttemptHost
}

var (
	_ Transport       = hostTransport{}
	_ attemptLauncher = hostTransport{}
)

func (h hostTransport) launch(a *attempt)    { h.host.Launch(newAttempt(a)) }
func (h hostTransport) cancelled(a *attempt) { h.host.Cancel(newAttempt(a)) }

// CloseIdle implements Transport.
func (h hostTransport) CloseIdle(server string) { h.host.CloseIdle(server) }

// Update implements Transport. It does nothing, because the host has its own list of servers.
func (h hostTransport) Update(EndpointUpdate) {}

// Configure implements Transport. It does nothing.
func (h hostTransport) Configure(policy.Settings) {}

package router

import "time"

// event is a message to the event loop. Endpoint updates have a channel of their own.
type event interface{ isEvent() }

// The events of the loop. Those of a single pointer are sent without an allocation.
type (
	// requestSubmitted is a call that Do hands in.
	requestSubmitted struct{ call *call }
	// clientLeft says that the caller of a call has left.
	clientLeft struct{ call *call }
	// bodyReceived says that the last byte of a call's upload has come.
	bodyReceived struct {
		call *call
		at   time.Time
	}
	// attemptEnded says that the transport has returned from an attempt, with attempt.result set.
	attemptEnded struct{ attempt *attempt }
	// drainEnded has the open requests answered, unless the drain was cancelled meanwhile.
	drainEnded struct{ run *drainRun }
	// command has a function run in the loop, and its error sent to reply, which must be buffered.
	command struct {
		run   func(*loop) error
		reply chan<- error
	}
)

func (requestSubmitted) isEvent() {}
func (clientLeft) isEvent()       {}
func (bodyReceived) isEvent()     {}
func (attemptEnded) isEvent()     {}
func (drainEnded) isEvent()       {}
func (command) isEvent()          {}

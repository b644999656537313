package router

import "time"

// event is a message to the event loop. Endpoint updates have their own channel.
type event interface{ isEvent() }

// The events of the loop. An event that holds a single pointer is sent without an allocation.
type (
	// requestSubmitted submits a call of Do.
	requestSubmitted struct{ call *call }
	// clientLeft reports that the caller of a call no longer waits.
	clientLeft struct{ call *call }
	// bodyReceived reports that the last byte of a call's upload has arrived.
	bodyReceived struct {
		call *call
		at   time.Time
	}
	// attemptEnded reports that the transport has returned from attempt. attempt.result is set.
	attemptEnded struct{ attempt *attempt }
	// drainEnded makes the loop answer the open requests, unless run was cancelled.
	drainEnded struct{ run *drainRun }
	// command calls run in the loop, and sends the error of run to reply. reply must be buffered.
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

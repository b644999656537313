package mux

import "errors"

// ErrRetired means that a connection accepts no new calls. Replies to open calls may still arrive.
var ErrRetired = errors.New("the connection accepts no new calls")

// NotSentError means that a call was not written completely. The call cannot have run.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoReplyError means that the write of a call has begun but no reply was received. The call may have run.
type NoReplyError struct{ Err error }

// Error implements error.
func (e *NoReplyError) Error() string { return "sent, no reply received: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.Err }

// MalformedReplyError means that the reply to a call is invalid. The call may have run.
type MalformedReplyError struct{ Err error }

// Error implements error.
func (e *MalformedReplyError) Error() string { return "malformed reply: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedReplyError) Unwrap() error { return e.Err }

package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"

	"cobaltward/handshakes"
)

// Reasons of an UntrustedError. Failures are counted by reason, and status pages show the reasons.
const (
	reasonExpired          = "expired"
	reasonNotYetValid      = "not yet valid"
	reasonUnknownAuthority = "unknown authority"
	reasonWrongName        = "another name"
	reasonWrongURI         = "another identity"
	reasonWrongKey         = "not the pinned key"
	reasonNoCertificate    = "no certificate"
	reasonInvalidChain     = "the chain does not hold"
	reasonNoTLS            = "answers without TLS"
	reasonTooMuchData      = "sends too much"
	reasonAlert            = "will not agree"
)

// Reasons of connection failures. They say nothing about the identity of the server.
const (
	reasonCancelled = "called off"
	reasonTimeout   = "no answer in time"
	reasonClosed    = "closed"
	reasonBroken    = "broken off"
)

// UntrustedError means that a server failed verification. No request was sent to the server.
type UntrustedError struct {
	Reason string // one of the reason constants above
	Detail string // human-readable detail; may differ for each failure
}

func (e *UntrustedError) Error() string { return e.Reason + ": " + e.Detail }

// chainError returns the UntrustedError for err, with which crypto/x509 rejected a chain.
func chainError(err error) *UntrustedError {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &unknown):
		return &UntrustedError{reasonUnknownAuthority, err.Error()}
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired: // expired intermediate; the leaf was checked before
		return &UntrustedError{reasonExpired, "in its chain: " + err.Error()}
	}
	return &UntrustedError{reasonInvalidChain, err.Error()}
}

// alertInternalError is the text of an alert about a fault in the server. It says nothing about the identity of the
// server.
const alertInternalError = "tls: internal error"

// classifyError returns an *UntrustedError if err means that the server failed verification. It returns other errors
// unchanged.
func classifyError(err error) error {
	var untrusted *UntrustedError
	var header tls.RecordHeaderError
	switch {
	case errors.Is(err, handshakes.ErrHandshakeTooLarge):
		return &UntrustedError{reasonTooMuchData, err.Error()}
	case errors.As(err, &untrusted):
		return untrusted
	case errors.As(err, &header):
		return &UntrustedError{reasonNoTLS, header.Msg}
	}
	if alert := handshakes.RemoteAlert(err); alert != "" && alert != alertInternalError {
		return &UntrustedError{reasonAlert, alert}
	}
	return err
}

// connectionFailureReason returns the reason under which err, a failure of the connection, is counted.
func connectionFailureReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed):
		return reasonCancelled
	case errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return reasonClosed
	}
	return reasonBroken
}

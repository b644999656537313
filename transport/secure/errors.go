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

// Reasons of an UntrustedError, by which failures are counted. Status pages show them.
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

// Reasons of failures that say nothing about the server's identity.
const (
	reasonCancelled = "called off"
	reasonTimeout   = "no answer in time"
	reasonClosed    = "closed"
	reasonBroken    = "broken off"
)

// UntrustedError is the error of a server that failed verification. No request was sent to it.
type UntrustedError struct {
	Reason string // one of a small set, for counting
	Detail string
}

func (e *UntrustedError) Error() string { return e.Reason + ": " + e.Detail }

// chainError returns the error of a chain that crypto/x509 rejected.
func chainError(err error) *UntrustedError {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &unknown):
		return &UntrustedError{reasonUnknownAuthority, err.Error()}
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired: // of an intermediate: the leaf was checked before
		return &UntrustedError{reasonExpired, "in its chain: " + err.Error()}
	}
	return &UntrustedError{reasonInvalidChain, err.Error()}
}

// alertInternalError is an alert about a fault of the server, not about its identity.
const alertInternalError = "tls: internal error"

// classifyError returns an *UntrustedError for the errors of a server that failed verification, and others unchanged.
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

// connectionFailure returns the reason by which a failure is counted that says nothing about the server's identity.
func connectionFailure(err error) string {
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

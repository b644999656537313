// Package middleware connects net/http with a router: a handler that answers an application's booking requests and
// passes all others on to it, and a RoundTripper for the application's own calls.
//
// The fields of a request are read by extractors, which default to the protocol's headers. Answers follow the
// protocol, as those of the daemon do:
//
//	200         a server's answer
//	429, 503    rejected: a retry is safe; Retry-After says when, if that is known
//	502, 504    failed: the request may have run
//	409         the request ID is in use, or was recently
//	other 4xx   the request is malformed and was not forwarded; its connection is closed
//
// The middleware recovers no panics, sets no limits on the host's listener, and logs nothing.
package middleware

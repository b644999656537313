// Package middleware is the way from net/http into a router: middleware that takes an application's
// booking requests and leaves it the rest, and a RoundTripper for its own calls.
//
// What a request is, is read by extractors, with the protocol's headers as the default; what comes
// back is the protocol's, so that clients can't tell the middleware from the daemon:
//
//	200         a server's answer
//	429, 503    refused: trying again is harmless; Retry-After says when, where anybody can tell
//	502, 504    failed: it may have run
//	409         the id is in use, or was lately
//	other 4xx   the request is malformed and went to no server; its connection ends
//
// The middleware recovers no panics, sets no limits on the host's listener, and logs nothing.
package middleware

// Package middleware connects net/http with a router. Its handler answers an application's booking requests, and
// passes other requests on to the application. Its RoundTripper sends the application's own requests.
//
// Extractors read the fields of a request. By default they read the protocol's headers. Answers follow the protocol,
// like the answers of the daemon:
//
//	200         a server's answer
//	429, 503    rejected: a retry is safe, after Retry-After if the header is present
//	502, 504    failed: the request may have run
//	409         the request ID is in use, or was recently
//	other 4xx   the request is malformed and was not forwarded; its connection is closed
//
// The middleware does not recover panics, limit the host's listener, or log.
package middleware

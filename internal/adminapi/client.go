package adminapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
)

// socketHost is the Host header of requests over a Unix socket. The server ignores the header.
const socketHost = "door"

// clientIdleTimeout is the time for which a client keeps an idle connection. It is well below the server's idleTimeout.
// With a longer timeout, the server could close a connection while a POST is being sent, and http.Transport does not
// retry a POST.
const clientIdleTimeout = idleTimeout / 2

// NewClient returns a client for the server at address, and the base URL of all paths. The address is the path of a
// Unix socket, or IP:port with a token. tlsConfig applies to IP:port only. If tlsConfig is nil, the client uses plain
// HTTP.
func NewClient(address, token string, tlsConfig *tls.Config) (client *http.Client, baseURL string) {
	transport := &http.Transport{
		DisableCompression: true, TLSClientConfig: tlsConfig, IdleConnTimeout: clientIdleTimeout,
	}
	baseURL = "http://" + address
	if tlsConfig != nil {
		baseURL = "https://" + address
	}
	if strings.HasPrefix(address, "/") {
		baseURL = "http://" + socketHost
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "unix", address)
		}
	}
	return &http.Client{Transport: tokenTransport{transport, token}}, baseURL + "/" + Version
}

// tokenTransport is an http.RoundTripper that adds a bearer token to each request.
type tokenTransport struct {
	*http.Transport
	token string
}

// RoundTrip sends a copy of the request, with the token if there is one.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.Transport.RoundTrip(r)
}

package xds

import (
	"cmp"
	"errors"
	"log/slog"
	"time"

	"cobaltward/certificates"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc/credentials"
)

// Default values of the intervals in Config.
const (
	// defaultBackoffBase is the pause after the first failed round of connection attempts, before jitter.
	defaultBackoffBase = time.Second
	// defaultBackoffMax is the maximum pause between rounds of connection attempts, before jitter.
	defaultBackoffMax = 30 * time.Second
	// defaultResponseTimeout is the timeout for the first response on a stream.
	defaultResponseTimeout = 15 * time.Second
	// defaultFailbackInterval is the interval between checks whether the preferred control plane is available again.
	// The checks run while a less preferred control plane is in use.
	defaultFailbackInterval = time.Minute
)

var errNoServers = errors.New("xds: no control plane is configured")

// Server is the address of a control plane and the credentials for it.
type Server struct {
	Addr string                           // host:port
	TLS  credentials.TransportCredentials // nil: plaintext
}

// Config configures a Source.
type Config struct {
	Servers []Server    // control planes in order of preference; at least one
	Node    *xdspb.Node // identifies this node; sent with the first request of each stream
	Delta   bool        // use the incremental variant of the protocol instead of state of the world
	// CacheDir is the directory of the cached list. The list is read at the start. If CacheDir is empty, nothing
	// is cached.
	CacheDir string
	Log      *slog.Logger // nil: nothing is logged
	// Secrets contains a function for each secret to subscribe to, by name of the secret. The function receives every
	// accepted version of the secret, and must not block. A secret that the control plane removes stays in use.
	Secrets map[string]func(*certificates.Set)

	// Intervals that tests override. 0 means the default.
	backoffBase, backoffMax, responseTimeout, failbackInterval time.Duration
}

// withDefaults returns the configuration with defaults filled in. If no servers are configured, it returns
// errNoServers.
func (c Config) withDefaults() (Config, error) {
	if len(c.Servers) == 0 {
		return c, errNoServers
	}
	c.Log = cmp.Or(c.Log, slog.New(slog.DiscardHandler))
	c.backoffBase = cmp.Or(c.backoffBase, defaultBackoffBase)
	c.backoffMax = cmp.Or(c.backoffMax, defaultBackoffMax)
	c.responseTimeout = cmp.Or(c.responseTimeout, defaultResponseTimeout)
	c.failbackInterval = cmp.Or(c.failbackInterval, defaultFailbackInterval)
	return c, nil
}

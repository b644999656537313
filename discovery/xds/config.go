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

// Defaults of Config's intervals.
const (
	// defaultBackoffBase is the pause after one failed round of attempts, before jitter.
	defaultBackoffBase = time.Second
	// defaultBackoffMax is the longest pause, before jitter.
	defaultBackoffMax = 30 * time.Second
	// defaultResponseTimeout is how long the first response of a stream may take.
	defaultResponseTimeout = 15 * time.Second
	// defaultFailbackInterval is how often a source that uses another control plane checks for the preferred one.
	defaultFailbackInterval = time.Minute
)

var errNoServers = errors.New("xds: no control plane is named")

// Server is one control plane.
type Server struct {
	Addr string                           // host:port
	TLS  credentials.TransportCredentials // nil: plaintext
}

// Config is what a Source needs.
type Config struct {
	Servers []Server    // control planes in order of preference; at least one
	Node    *xdspb.Node // identifies this node; sent with the first request of each stream
	Delta   bool        // use the incremental variant of the protocol
	// CacheDir is where the last complete list is cached and read from at the start. Empty: nothing is cached.
	CacheDir string
	Log      *slog.Logger // nil: nothing is logged
	// Secrets has, by the name of each secret to subscribe to, the function that receives every accepted version of
	// it. The functions must not block. A secret that the control plane removes stays in use here.
	Secrets map[string]func(*certificates.Set)

	// Intervals that tests shorten; 0: the default.
	backoffBase, backoffMax, responseTimeout, failbackInterval time.Duration
}

// withDefaults is the configuration with all defaults filled in, or errNoServers.
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

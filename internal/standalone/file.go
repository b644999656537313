// Package standalone reads the configuration of a standalone node, which has no platform, from the operator's own
// file. The file defines the listener, classes, tenants and servers. It also defines the routes that assign classes
// to requests, and the layers that identify tenants. Frontend converts clients' requests to the router's protocol.
package standalone

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"time"

	"cobaltward/internal/stricttoml"
	"cobaltward/policy"
)

// File is the operator's own file. Package nodeconfig reads the tables of type any, and this package reads the other
// tables.
type File struct {
	Node         Node         `toml:"node"`
	Listen       []Listen     `toml:"listen"`
	Limits       Limits       `toml:"limits"`
	Classes      []Class      `toml:"class"`
	Tenants      []Tenant     `toml:"tenant"`
	Buckets      Buckets      `toml:"buckets"`
	Servers      []Server     `toml:"server"`
	ServerSource ServerSource `toml:"servers"`
	Routes       []Route      `toml:"route"`
	Identity     Identity     `toml:"identity"`
	Service      Service      `toml:"service"` // this table and the next four also apply to nodes with a platform
	Levels       []Level      `toml:"level"`
	State        State        `toml:"state"`
	TLS          *TLS         `toml:"tls"`
	Fleet        *Fleet       `toml:"fleet"`

	Log      any `toml:"log"`
	Drain    any `toml:"drain"`
	XDS      any `toml:"xds"`
	Msgpack  any `toml:"msgpack"`
	AdminAPI any `toml:"door"`

	lines stricttoml.Lines
	path  string
}

// Node identifies this node among all nodes that share the tenants' quotas.
type Node struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	Index int    `toml:"place" min:"0"`          // index of this node, from 0
	Count int    `toml:"of" min:"1" max:"10000"` // number of nodes; default: 1
}

// Listen configures a listener for HTTP/1.1.
type Listen struct {
	Name    string `toml:"name"`
	Address string `toml:"address" need:"1"`
}

// Limits bounds the resources of the process and the attempts for each request.
type Limits struct {
	Sockets         int           `toml:"sockets" min:"64" max:"1000000"` // maximum file descriptors; default: 1024
	MemoryMB        int           `toml:"memory_mb" min:"16"`             // maximum memory of the process; default: 192
	Cores           float64       `toml:"cores" min:"0.1" max:"1024"`     // CPU cores of the process; default: 1
	MaxOpen         int           `toml:"open" min:"1"`                   // maximum unanswered requests
	ConnectTimeout  time.Duration `toml:"connect" min:"1ms" max:"1m"`     // server connect timeout; default: 250 ms
	MaxAttempts     int           `toml:"attempts" min:"1" max:"100"`     // maximum attempts for one request; default: 4
	MaxRetryAfter   time.Duration `toml:"retry_after" min:"0s" max:"1h"`  // maximum Retry-After; unset or 0: 10 s
	Hedging         bool          `toml:"second_copies"`
	ConnIdleTimeout time.Duration `toml:"conn_idle" min:"1s" max:"1h"` // servers' idle timeout; default: 60 s
	DrainGrace      time.Duration `toml:"drain_grace" min:"0s" max:"1m"`
}

// State configures the file in which a node stores its learned state for the next start.
type State struct {
	File         string        `toml:"file"`
	SaveInterval time.Duration `toml:"every" min:"100ms" max:"1h"` // interval between writes of the state; default: 2 s
	HalfLife     time.Duration `toml:"half" min:"1s" max:"24h"`    // age at which the weight is halved; default: 1 min
	MaxAge       time.Duration `toml:"most" min:"1s" max:"24h"`    // maximum age; older state is ignored; default: 10 min
}

// Rules of the policy for a standalone node that the file cannot set.
const (
	answerGrace       = 50 * time.Millisecond
	defaultDrainGrace = 500 * time.Millisecond
	slowStartShare    = 1 // a server that has just started gets its full share at once
	overloadFactor    = 3
	overloadDuration  = time.Second
)

// Defaults of the table [limits].
const (
	defaultMaxAttempts     = 4
	defaultMaxRetryAfter   = 10 * time.Second
	defaultConnIdleTimeout = time.Minute
)

// Load reads the file at path. An empty path means an empty file. An error in the file's contents is a
// single-line message with the file name, line number and key.
func Load(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := &File{path: path}
	if file.lines, err = stricttoml.Decode(text, file); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if err := file.check(); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return file, nil
}

// Path returns the path of the file that Load has read.
func (f *File) Path() string { return f.path }

// Standalone reports whether the file configures a standalone node.
func (f *File) Standalone() bool { return len(f.Listen) > 0 }

// Equal reports whether two files have the same settings, regardless of their paths and layout.
func (f *File) Equal(other *File) bool {
	a, b := *f, *other
	a.lines, a.path, b.lines, b.path = nil, "", nil, ""
	return reflect.DeepEqual(a, b)
}

// resolvePath returns the path that name means in the file. A relative path is relative to the file's directory.
func (f *File) resolvePath(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(f.path), name)
}

// Settings returns the policy settings that the file configures.
func (f *File) Settings() policy.Settings {
	settings := policy.Settings{
		Node:  f.Node.Index,
		Nodes: cmp.Or(f.Node.Count, 1),
		Zone:  f.Node.Zone,
		Capabilities: policy.Capabilities{
			Cancel:          true,
			Hedge:           f.Limits.Hedging,
			RetryAfter:      true,
			MaxAttempts:     cmp.Or(f.Limits.MaxAttempts, defaultMaxAttempts),
			MaxRetryAfter:   cmp.Or(f.Limits.MaxRetryAfter, defaultMaxRetryAfter),
			ConnIdleTimeout: cmp.Or(f.Limits.ConnIdleTimeout, defaultConnIdleTimeout),
		},
		Rules: policy.Rules{
			AnswerGrace:      answerGrace,
			DrainGrace:       cmp.Or(f.Limits.DrainGrace, defaultDrainGrace),
			SlowStartShare:   slowStartShare,
			OverloadFactor:   overloadFactor,
			OverloadDuration: overloadDuration,
		},
		RateLimits: f.Buckets.rateLimits(),
	}
	for _, class := range f.Classes {
		settings.Classes = append(settings.Classes, class.settings())
	}
	for _, tenant := range f.Tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{
			Name: tenant.Name, Quota: tenant.Quota, Share: tenant.Share,
		})
	}
	return settings
}

// Package expect checks a configuration against its operator's expectations: which class, tenant and zone a
// request is assigned, also while zones are gone or tenants send too much. It runs the real tables, engine and
// policy module in virtual time, without a socket.
package expect

import (
	"fmt"
	"os"
	"time"

	"cobaltward/internal/standalone"
	"cobaltward/internal/stricttoml"
)

// File is a file of expectations.
type File struct {
	Cases []Case `toml:"expect" need:"1"`

	lines stricttoml.Lines
	path  string
}

// Case is one expectation: a request, the state of servers and node, and what must hold. The request is sent several
// times.
type Case struct {
	Name     string            `toml:"name" need:"1"`
	Method   string            `toml:"method"` // empty: GET
	URL      string            `toml:"url" need:"1"`
	Headers  map[string]string `toml:"headers"`
	From     string            `toml:"from"` // address of the connection; empty: 192.0.2.1
	State    State             `toml:"state"`
	Requests int               `toml:"draws" min:"1" max:"100000"` // 0: 100
	Interval time.Duration     `toml:"every" min:"0s" max:"1m"`    // between two requests; 0: 50ms
	Seed     uint64            `toml:"seed"`
	Want     Want              `toml:"want"`
}

// State changes servers and node from what the configuration says.
type State struct {
	MissingZones   []string `toml:"zones_gone"`
	MissingServers []string `toml:"servers_gone"`
	Draining       []string `toml:"drained"`
	Response       string   `toml:"answer" one:"served|failing|full"` // of every server; empty: served
	NodeZone       string   `toml:"node_zone"`                        // of the node; empty: the configuration's
}

// Want is what must hold. A field that is empty is not checked.
type Want struct {
	Class       string             `toml:"class"`
	Tenant      string             `toml:"tenant"` // "anonymous" for one that is not configured
	Route       string             `toml:"route"`  // wantNoRoute, or wantPathRejected
	FirstZone   string             `toml:"first_zone"`
	NeverZones  []string           `toml:"never_zones"`
	FirstServer string             `toml:"first_server"`
	ZoneShare   map[string]float64 `toml:"zone_share"`                          // part of the first attempts
	Tolerance   float64            `toml:"within" min:"0" max:"1"`              // of ZoneShare; 0: 0.05
	Outcome     string             `toml:"outcome" one:"served|refused|failed"` // of all requests
	Rejected    *stricttoml.Range  `toml:"refused"`                             // part of the requests
	RetryAfter  bool               `toml:"retry_after"`                         // all rejections have a Retry-After
	MaxAttempts int                `toml:"at_most_attempts" min:"1"`            // of each request
}

// Values of Want.Route.
const (
	wantNoRoute      = "none"    // no route matches
	wantPathRejected = "refused" // the path is rejected before routes are searched
)

// Load reads a file of expectations.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := &File{path: path}
	if file.lines, err = stricttoml.Decode(text, file); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return file, nil
}

// Result is the result of one expectation.
type Result struct {
	Name string
	Line int // of the expectation in its file
	// Failures each have what was wanted, what was found, and the line of the configuration that decided. There are none
	// if the expectation is met.
	Failures []string
}

// Run checks a configuration against the file's expectations. An expectation that can't be evaluated is an error.
func (f *File) Run(conf *standalone.File) ([]Result, error) {
	table, err := conf.RouteTable()
	if err != nil {
		return nil, err
	}
	resolver, err := conf.IdentityFinder()
	if err != nil {
		return nil, err
	}
	var results []Result
	for i := range f.Cases {
		key := fmt.Sprintf("expect[%d]", i)
		failures, err := evaluate(conf, table, resolver, &f.Cases[i])
		if err != nil {
			return nil, fmt.Errorf("%s:%w", f.path, f.lines.Errorf(key, "%s", err))
		}
		results = append(results, Result{Name: f.Cases[i].Name, Line: f.lines.At(key), Failures: failures})
	}
	return results, nil
}

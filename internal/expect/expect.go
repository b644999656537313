// Package expect checks a configuration against its operator's expectations. An expectation states the class, tenant
// and zone of a request, also while zones are unavailable or tenants exceed their quotas. The package runs the
// production route table, engine and policy module in virtual time. It opens no sockets.
package expect

import (
	"fmt"
	"os"
	"time"

	"cobaltward/internal/standalone"
	"cobaltward/internal/stricttoml"
)

// File contains the expectations that Load has read from one file.
type File struct {
	Cases []Case `toml:"expect" need:"1"`

	lines stricttoml.Lines
	path  string
}

// Case is one expectation: a request, the state of the servers and the node, and the expected result. The request is
// sent several times.
type Case struct {
	Name     string            `toml:"name" need:"1"`
	Method   string            `toml:"method"` // default: GET
	URL      string            `toml:"url" need:"1"`
	Headers  map[string]string `toml:"headers"`
	From     string            `toml:"from"` // client address; default: 192.0.2.1
	State    State             `toml:"state"`
	Requests int               `toml:"draws" min:"1" max:"100000"` // default: 100
	Interval time.Duration     `toml:"every" min:"0s" max:"1m"`    // interval between requests; default: 50ms
	Seed     uint64            `toml:"seed"`
	Want     Want              `toml:"want"`
}

// State overrides the configured state of the servers and the node.
type State struct {
	MissingZones   []string `toml:"zones_gone"`
	MissingServers []string `toml:"servers_gone"`
	Draining       []string `toml:"drained"`
	Response       string   `toml:"answer" one:"served|failing|full"` // response of every server; default: served
	NodeZone       string   `toml:"node_zone"`                        // default: the zone in the configuration
}

// Want is the expected result. A field with the zero value is not checked.
type Want struct {
	Class       string   `toml:"class"`
	Tenant      string   `toml:"tenant"` // "anonymous" for a tenant that is not configured
	Route       string   `toml:"route"`  // wantNoRoute or wantPathRejected
	FirstZone   string   `toml:"first_zone"`
	NeverZones  []string `toml:"never_zones"`
	FirstServer string   `toml:"first_server"`
	// ZoneShare is the expected fraction of the first attempts that go to each zone.
	ZoneShare map[string]float64 `toml:"zone_share"`
	// Tolerance is the accepted deviation from each value of ZoneShare. The default is 0.05.
	Tolerance float64 `toml:"within" min:"0" max:"1"`
	// Outcome is the expected outcome of every request.
	Outcome string `toml:"outcome" one:"served|refused|failed"`
	// Rejected is the expected range of the fraction of rejected requests.
	Rejected *stricttoml.Range `toml:"refused"`
	// RetryAfter requires every rejection to have a Retry-After.
	RetryAfter bool `toml:"retry_after"`
	// MaxAttempts is the maximum number of attempts of each request.
	MaxAttempts int `toml:"at_most_attempts" min:"1"`
}

// Values of Want.Route.
const (
	wantNoRoute      = "none"    // no route matches
	wantPathRejected = "refused" // the path is rejected before any route is matched
)

// Load reads the file of expectations at path.
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

// Result records whether one expectation is met.
type Result struct {
	Name string
	Line int // line number of the expectation in its file
	// Failures has a message for each part that is not met. A message contains the expected value, the actual value,
	// and the line of the configuration that caused the actual value. Failures is empty if the expectation is met.
	Failures []string
}

// Run checks a configuration against the file's expectations. It returns an error if an expectation cannot be
// evaluated.
func (f *File) Run(conf *standalone.File) ([]Result, error) {
	table, err := conf.RouteTable()
	if err != nil {
		return nil, err
	}
	resolver, err := conf.IdentityResolver()
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

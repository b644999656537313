package router

import (
	"errors"
	"fmt"
	"time"

	"cobaltward/policy"
)

// DefaultMaxInFlight is the default of Config.MaxInFlight.
const DefaultMaxInFlight = 1 << 16

// Config configures a router. It is passed to New at the start, and to Reload later.
type Config struct {
	// Settings contains the classes, tenants, limits, capabilities and rules of the balancer.
	Settings policy.Settings
	// MaxInFlight is the maximum number of requests without an answer. Do answers Overloaded beyond the maximum. 0
	// means DefaultMaxInFlight.
	MaxInFlight int
	// Seed seeds the random choices of the balancer. Only New reads it.
	Seed uint64
	// Endpoints is the last known list of servers. New starts with this list, which may be stale. Reload applies the
	// list only if the endpoint source is StaticEndpoints, because other sources report their own list.
	Endpoints []Endpoint
}

// ConfigError reports a field of Config with an invalid value.
type ConfigError struct {
	Field string // path of the field, as in "Endpoints[1].ID"
	Err   error
}

// Error names the field and the problem.
func (e *ConfigError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the problem.
func (e *ConfigError) Unwrap() error { return e.Err }

var errMissing = errors.New("missing")

// validate returns a *ConfigError for the first field with an invalid value.
func (c Config) validate() error {
	if c.MaxInFlight < 0 {
		return &ConfigError{"MaxInFlight", fmt.Errorf("want 0 or more, got %d", c.MaxInFlight)}
	}
	if err := validateEndpoints(c.Endpoints); err != nil {
		return err
	}
	if _, err := policy.New(c.Settings, 0, 0); err != nil {
		return &ConfigError{"Settings", err}
	}
	return nil
}

func validateEndpoints(endpoints []Endpoint) error {
	seen := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		endpoint := &endpoints[i]
		switch {
		case endpoint.ID == "":
			return &ConfigError{fmt.Sprintf("Endpoints[%d].ID", i), errMissing}
		case seen[endpoint.ID]:
			return &ConfigError{fmt.Sprintf("Endpoints[%d].ID", i), fmt.Errorf("%q is named twice", endpoint.ID)}
		case endpoint.Addr == "" && endpoint.Availability != policy.Removed:
			return &ConfigError{fmt.Sprintf("Endpoints[%d].Addr", i), errMissing}
		}
		seen[endpoint.ID] = true
	}
	return nil
}

// maxInFlight returns MaxInFlight or its default.
func (c Config) maxInFlight() int {
	if c.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return c.MaxInFlight
}

// longestDeadline returns the longest deadline of all classes.
func (c Config) longestDeadline() (longest time.Duration) {
	for i := range c.Settings.Classes {
		longest = max(longest, c.Settings.Classes[i].Deadline)
	}
	return longest
}

package expect

import (
	"fmt"
	"slices"
	"time"

	"cobaltward/internal/standalone"
	"cobaltward/policy"
	"cobaltward/router"
)

// responseTime is the response time of every server.
const responseTime = 10 * time.Millisecond

// Outcomes of requests, with the names that Want.Outcome uses.
const (
	outcomeServed   = "served"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
)

// responseCodes maps each value of State.Response to the result code of every attempt.
var responseCodes = map[string]policy.Code{
	"": policy.OK, "served": policy.OK, "failing": policy.ServerError, "full": policy.Overloaded,
}

// simulation runs an engine in virtual time with servers that all give the same response. It is the engine's
// transport.
type simulation struct {
	engine   *router.Stepped
	now      time.Duration
	response policy.Code
	inFlight []pendingAttempt  // attempts in flight, sorted by the time at which they end
	zones    map[string]string // zone of each server, by server ID

	firstServers []string       // server of each request's first attempt
	zoneAttempts map[string]int // number of attempts by zone
	attempts     map[string]int // number of attempts by request ID
	outcomes     map[string]int
	retryAfters  []time.Duration // Retry-After of each rejected request; 0: none
}

// pendingAttempt is an attempt that has no result yet.
type pendingAttempt struct {
	endsAt  time.Duration
	attempt router.Attempt
}

func newSimulation(conf *standalone.File, tested *Case) (*simulation, error) {
	endpoints, err := conf.Endpoints()
	if err != nil {
		return nil, err
	}
	if err := tested.checkNames(endpoints); err != nil {
		return nil, err
	}
	sim := &simulation{
		response: responseCodes[tested.State.Response], zones: make(map[string]string), zoneAttempts: make(map[string]int),
		attempts: make(map[string]int), outcomes: make(map[string]int),
	}
	present := tested.State.apply(endpoints)
	for _, endpoint := range present {
		sim.zones[endpoint.ID] = endpoint.Zone
	}
	settings := conf.Settings()
	if tested.State.NodeZone != "" {
		settings.Zone = tested.State.NodeZone
	}
	config := router.Config{Settings: settings, Seed: tested.Seed + 1, Endpoints: present}
	sim.engine, err = router.NewStepped(config, sim, time.Unix(0, 0))
	return sim, err
}

// checkNames returns an error if the case names a zone or server that the configuration does not contain.
func (c *Case) checkNames(endpoints []router.Endpoint) error {
	ids, zones := make(map[string]bool), make(map[string]bool)
	for _, endpoint := range endpoints {
		ids[endpoint.ID], zones[endpoint.Zone] = true, true
	}
	for _, check := range []struct {
		kind         string
		names        []string
		isConfigured map[string]bool
	}{
		{"zone", c.State.MissingZones, zones},
		{"server", c.State.MissingServers, ids},
		{"server", c.State.Draining, ids},
		{"zone", c.Want.NeverZones, zones},
	} {
		for _, name := range check.names {
			if !check.isConfigured[name] {
				return fmt.Errorf("state: unknown %s %q", check.kind, name)
			}
		}
	}
	return nil
}

// apply returns endpoints without the zones and servers that s lists as missing. It marks the servers in s.Draining
// as draining.
func (s *State) apply(endpoints []router.Endpoint) (present []router.Endpoint) {
	for _, endpoint := range endpoints {
		if slices.Contains(s.MissingZones, endpoint.Zone) || slices.Contains(s.MissingServers, endpoint.ID) {
			continue
		}
		if slices.Contains(s.Draining, endpoint.ID) {
			endpoint.Availability = policy.Draining
		}
		present = append(present, endpoint)
	}
	return present
}

// Launch records an attempt and schedules its result.
func (s *simulation) Launch(attempt router.Attempt) {
	if attempt.Number == 0 {
		s.firstServers = append(s.firstServers, attempt.Server)
	}
	s.zoneAttempts[s.zones[attempt.Server]]++
	s.attempts[attempt.Request.ID]++
	s.inFlight = append(s.inFlight, pendingAttempt{endsAt: s.now + responseTime, attempt: attempt})
}

// Cancel does nothing: the attempt ends within responseTime.
func (s *simulation) Cancel(router.Attempt) {}

// CloseIdle does nothing: there are no connections.
func (s *simulation) CloseIdle(string) {}

// submit sends a request to the engine and counts the outcome. If the engine rejects the request as invalid, submit
// counts the request under the error.
func (s *simulation) submit(request router.Request) {
	err := s.engine.Submit(s.now, request, func(answer router.Answer) {
		switch answer.Outcome {
		case router.Served:
			s.outcomes[outcomeServed]++
		case router.Rejected, router.Overloaded:
			s.outcomes[outcomeRejected]++
			s.retryAfters = append(s.retryAfters, answer.RetryAfter)
		default:
			s.outcomes[outcomeFailed]++
		}
	})
	if err != nil {
		s.outcomes["invalid: "+err.Error()]++
	}
}

// advance moves the virtual time forward and ends the attempts that are due.
func (s *simulation) advance(by time.Duration) {
	until := s.now + by
	for len(s.inFlight) > 0 && s.inFlight[0].endsAt <= until {
		ended := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.now = max(s.now, ended.endsAt)
		s.engine.FinishAttempt(s.now, ended.attempt, router.Result{Code: s.response})
	}
	s.now = until
	s.engine.Advance(s.now)
}

package expect

import (
	"fmt"
	"slices"
)

// defaultTolerance is the default of Want.Tolerance. A zone's share of the first attempts may deviate from the
// expected share by that much.
const defaultTolerance = 0.05

// failures holds one message for each part of an expectation that is not met.
type failures []string

func (f *failures) add(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// check compares the requests sent so far with want, and returns the parts that are not met.
func (s *simulation) check(want *Want) failures {
	var found failures
	s.checkServers(want, &found)
	s.checkZoneShares(want, &found)
	s.checkOutcomes(want, &found)
	s.checkAttempts(want, &found)
	return found
}

// checkServers checks the zone and server of the first attempts, and that no attempt was sent to an excluded zone.
func (s *simulation) checkServers(want *Want, found *failures) {
	firstServer, destination := "", "nowhere"
	if len(s.firstServers) > 0 {
		firstServer = s.firstServers[0]
		destination = fmt.Sprintf("to %s in %s", firstServer, s.zones[firstServer])
	}
	if want.FirstZone != "" && (firstServer == "" || s.zones[firstServer] != want.FirstZone) {
		found.add("want the first attempt to go to zone %s; it goes %s", want.FirstZone, destination)
	}
	if want.FirstServer != "" && firstServer != want.FirstServer {
		found.add("want the first attempt to go to server %s; it goes %s", want.FirstServer, destination)
	}
	for _, zone := range want.NeverZones {
		if s.zoneAttempts[zone] > 0 {
			found.add("want nothing sent to zone %s; %d attempts were", zone, s.zoneAttempts[zone])
		}
	}
}

func (s *simulation) checkZoneShares(want *Want, found *failures) {
	firstAttempts := make(map[string]int) // number of first attempts by zone
	for _, server := range s.firstServers {
		firstAttempts[s.zones[server]]++
	}
	tolerance := want.Tolerance
	if tolerance == 0 {
		tolerance = defaultTolerance
	}
	for zone, share := range want.ZoneShare {
		got := float64(firstAttempts[zone]) / max(1, float64(len(s.firstServers)))
		if got < share-tolerance || got > share+tolerance {
			found.add("want %.2f of the first attempts in zone %s, within %.2f; got %.2f of %d",
				share, zone, tolerance, got, len(s.firstServers))
		}
	}
}

func (s *simulation) checkOutcomes(want *Want, found *failures) {
	total := 0
	for _, count := range s.outcomes {
		total += count
	}
	if want.Outcome != "" && s.outcomes[want.Outcome] != total {
		found.add("want all %d requests %s; got %v", total, want.Outcome, s.outcomes)
	}
	if bounds := want.Rejected; bounds != nil {
		got := float64(s.outcomes[outcomeRejected]) / max(1, float64(total))
		if got < bounds.Lo || got > bounds.Hi {
			found.add("want %.2f to %.2f of %d requests rejected; got %.2f", bounds.Lo, bounds.Hi, total, got)
		}
	}
	if want.RetryAfter && slices.Contains(s.retryAfters, 0) {
		found.add("want every rejection to have a Retry-After; some have none")
	}
}

// checkAttempts checks the number of attempts of each request. It reports at most one request with too many attempts.
func (s *simulation) checkAttempts(want *Want, found *failures) {
	if want.MaxAttempts == 0 {
		return
	}
	for id, count := range s.attempts {
		if count > want.MaxAttempts {
			found.add("want at most %d attempts a request; %s had %d", want.MaxAttempts, id, count)
			return
		}
	}
}

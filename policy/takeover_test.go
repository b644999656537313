package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestRetry_NotOnProcessStartedLater guards against a second run of a keyed request: a process that started after the
// first attempt, such as a successor at the same address, does not know the key.
func TestRetry_NotOnProcessStartedLater(t *testing.T) {
	for _, class := range []string{"dedup-all", "dedup-zone", "dedup-cell"} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/later=%v", class, later), func(t *testing.T) {
				other := Endpoint{Server: "s04", Zone: "a", Kind: "k1", Cell: NewCell(0), Weight: 1}
				settings := testSettings(1)
				for i := range settings.Classes {
					settings.Classes[i].Deadline, settings.Classes[i].DedupWindow = 3*time.Second, 4*time.Second
					settings.Classes[i].LateWeightFraction = 1
				}
				b := startBalancer(t, settings, testEndpoints(1))
				const sentAt = 20 * time.Second
				request := testRequest("r", class)
				request.ExpiresIn = 3 * time.Second
				first := sentServer(t, b.Handle(sentAt, request))
				if later {
					other.OnlineSince = sentAt + 10*ms
				} else {
					other.OnlineSince = sentAt - 15*time.Second
				}
				removed := Endpoint{Server: first, Availability: Removed}
				b.Handle(sentAt+20*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{removed, other}})
				acts := handle(b, sentAt+2*time.Second, testOutcome("r", 0, first, Reset, 2*time.Second))
				if sent := len(actionsOf(acts, Send)) > 0; sent == later {
					t.Errorf("retried: %v, want %v: %+v", sent, !later, acts)
				}
			})
		}
	}
}

// TestRetry_NotOnServerOfUnknownStart guards against a second run of a keyed request: a server of unknown start that
// the list names as running only after the first attempt may have been restarted, and may then not know the key.
func TestRetry_NotOnServerOfUnknownStart(t *testing.T) {
	for _, class := range []string{"dedup-all", "dedup-zone", "dedup-cell"} {
		for _, away := range []Availability{Running, Draining, Removed} {
			t.Run(fmt.Sprintf("%s/away=%d", class, away), func(t *testing.T) {
				endpoints := []Endpoint{
					{Server: "first", Zone: "a", Cell: NewCell(1)},
					{Server: "second", Zone: "a", Cell: NewCell(1), StartUnknown: true},
				}
				b := startBalancer(t, testSettings(1), endpoints[:1])
				update := func(at Time, availability Availability) {
					endpoints[1].Availability = availability
					b.Handle(at, EndpointList{Kind: ListUpdate, Endpoints: endpoints[1:]})
				}
				update(ms, away)
				first := sentServer(t, b.Handle(10*ms, testRequest("r", class)))
				update(20*ms, Running)
				acts := handle(b, 30*ms, testOutcome("r", 0, first, Reset, 20*ms))
				if sent := len(actionsOf(acts, Send)) > 0; sent != (away == Running) {
					t.Errorf("retried: %v, want %v: %+v", sent, away == Running, acts)
				}
			})
		}
	}
}

package node

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/drain"
	"cobaltward/levels"
	"cobaltward/router"
)

// TestAdminAPI_JSONOfEarlierVersion checks that the JSON of the admin API, with every field set, equals the JSON of
// an earlier version byte for byte. The names and the order of the keys must not change.
func TestAdminAPI_JSONOfEarlierVersion(t *testing.T) {
	at := time.Date(2026, 12, 1, 8, 30, 0, 0, time.UTC)
	for name, value := range map[string]any{
		"status": Status{
			Version: 1, Name: "n1", At: at, Phase: "closing",
			Drain: drain.Status{
				State: drain.Closing, Since: at, StartedAt: at.Add(-time.Second), Deadline: at.Add(time.Minute),
				Reason: "patch", RequestedBy: "ops", Final: true, OpenAtDeadline: 3,
			},
			Requests: RequestCounts{
				Open: 5, ByClass: map[string]int{"read": 5}, OldestMs: 7, OldestRemainingMs: 8,
				Queued: 9, Retrying: 10, AttemptsInFlight: 11,
			},
			Connections:      ConnectionCounts{Clients: 12, Busy: 13, Servers: 14, ClosedForDrain: 15, RetriedByClients: 16},
			Servers:          map[string]int{"running": 17},
			DisabledServers:  []string{"s1"},
			UntrustedServers: []string{"s2"},
			EndpointList:     router.EndpointListStats{Updates: 18, Failures: 19, LastUpdate: at},
			Answers:          map[string]uint64{"served": 20},
			Attempts:         21,
		},
		"level": router.LevelStatus{
			Level: 1, Name: "lean", Reason: "demand", Demand: 1.5, Slow: 0.25, Queued: 0.125,
			Events:         []levels.Event{{At: 5 * time.Second, From: 0, To: 1, Name: "lean", Reason: "demand"}},
			ExitConditions: []string{"x"}, ExitProbing: true, MaxLevel: 2, DryRun: true,
			ShedByClass: map[string]uint64{"read": 1}, ShedByTenant: map[string]uint64{"acme": 2}, ShedWeight: 2.5,
		},
		"drain-event": drain.Event{
			Number: 1, At: at, From: drain.Serving, To: drain.Announced, Change: "started", Reason: "patch", RequestedBy: "ops",
			Deadline: at.Add(time.Minute), OpenRequests: 4,
		},
		"drain-order": DrainRequest{Timeout: "30s", Reason: "patch", RequestedBy: "ops", Force: true},
		"level-order": LevelRequest{Level: 1, Duration: "10m", RequestedBy: "ops", Reason: "load"},
	} {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", "wire", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := json.MarshalIndent(value, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			if got = append(got, '\n'); !bytes.Equal(got, want) {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

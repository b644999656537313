package learnedstate

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"

	"pgregory.net/rapid"
)

// allListed is an InitialThreshold with every server in service. The processes of all servers started long ago.
func allListed(string) (threshold float64, uptime time.Duration, ok bool) { return 2, 0, true }

// TestDecay_ByAge checks that a snapshot is adjusted to its age. Thresholds halve their distance to the initial
// threshold in each half-life. The remaining time of ejections shrinks to 0 while the servers stay ejected. Buckets
// get the age as idle time. A snapshot that is too old or from the future is rejected.
func TestDecay_ByAge(t *testing.T) {
	for age, want := range map[time.Duration]float64{0: 8, time.Minute: 5, 2 * time.Minute: 3.5} {
		t.Run(age.String(), func(t *testing.T) {
			state, report := Decay(newSnapshot(4), takenAt.Add(age), allListed, Config{})
			if got := state.Servers[1].Threshold; math.Abs(got-want) > 1e-9 {
				t.Errorf("threshold %v, want %v", got, want)
			}
			if server := state.Servers[3]; !server.Ejected || server.EjectedFor != max(0, 3*time.Second-age) {
				t.Errorf("want the server ejected for the rest of its time, got %+v", server)
			}
			if bucket := state.Buckets[0]; bucket.Tokens != 3 || bucket.Idle != age {
				t.Errorf("want 3 tokens and the age as idle time, got %+v", bucket)
			}
			if report.Restored != 4 || report.Ejected != 2 || report.Rejected != "" {
				t.Errorf("want 4 servers restored and 2 ejected, got %+v", report)
			}
		})
	}
	for age, want := range map[time.Duration]string{time.Hour: "older", -time.Minute: "future"} {
		t.Run(want, func(t *testing.T) {
			state, report := Decay(newSnapshot(4), takenAt.Add(age), allListed, Config{})
			if !strings.Contains(report.Rejected, want) || len(state.Servers) > 0 {
				t.Errorf("want the snapshot rejected, got %+v", report)
			}
		})
	}
}

// TestDecay_OtherProcess checks that the learned state of a server is dropped if the server runs another process now.
func TestDecay_OtherProcess(t *testing.T) {
	snapshot := newSnapshot(2)
	snapshot.State.Servers[1].Uptime = time.Minute
	for uptime, restarted := range map[time.Duration]int{time.Minute + 10*time.Second: 0, time.Second: 1, 0: 1} {
		t.Run(uptime.String(), func(t *testing.T) {
			initial := func(id string) (float64, time.Duration, bool) {
				if id == "s1" {
					return 2, uptime, true
				}
				return 0, 0, false
			}
			_, report := Decay(snapshot, takenAt.Add(10*time.Second), initial, Config{})
			if report.Restarted != restarted || report.NotListed != 1 {
				t.Errorf("wrong number of restarted or unlisted servers: %+v", report)
			}
		})
	}
}

// TestDecay_OtherNode checks that a snapshot of another node has half the weight and that its buckets are left out.
func TestDecay_OtherNode(t *testing.T) {
	state, _ := Decay(newSnapshot(4), takenAt, allListed, Config{OtherNode: true})
	if len(state.Buckets) > 0 || state.Servers[1].Threshold != 5 {
		t.Errorf("want no buckets and a threshold of 5, got %+v", state)
	}
}

// anySnapshot draws a snapshot with arbitrary values, including impossible ones.
func anySnapshot(t *rapid.T, servers int) Snapshot {
	value := rapid.Float64()
	snapshot := Snapshot{At: takenAt}
	for i := range servers {
		snapshot.State.Servers = append(snapshot.State.Servers, policy.ServerState{
			Server:     fmt.Sprint(i),
			Threshold:  value.Draw(t, "threshold"),
			Latency:    value.Draw(t, "latency"),
			FaultRate:  value.Draw(t, "fault rate"),
			FaultScore: value.Draw(t, "fault score"),
			Ejected:    rapid.Bool().Draw(t, "ejected"),
			EjectedFor: time.Duration(rapid.Int64().Draw(t, "ejected for")),
			Ejections:  rapid.Int().Draw(t, "ejections"),
		})
	}
	snapshot.State.RateScale = value.Draw(t, "rate scale")
	snapshot.State.SharedThresholdScale = value.Draw(t, "shared threshold scale")
	snapshot.State.Buckets = []policy.BucketState{{
		Tokens: rapid.Int64().Draw(t, "tokens"),
		Idle:   time.Duration(rapid.Int64().Draw(t, "idle")),
	}}
	return snapshot
}

// isPlausible reports whether a node can have the server state s.
func isPlausible(s policy.ServerState) bool {
	return s.Threshold >= 0 && s.Threshold <= 1e6 &&
		s.Latency >= 0 && s.Latency <= 3600 &&
		s.FaultRate >= 0 && s.FaultRate <= 1 && s.FaultScore >= 0 &&
		s.EjectedFor >= 0 && s.EjectedFor <= 10*time.Minute &&
		s.Ejections >= 0 && s.Ejections <= 10
}

// TestDecay_BoundsAnySnapshot checks that all values taken over from an arbitrary snapshot are possible for a node.
// At most half of the servers may start ejected.
func TestDecay_BoundsAnySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(0, 12).Draw(t, "servers")
		snapshot := anySnapshot(t, servers)
		age := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "age"))
		state, report := Decay(snapshot, takenAt.Add(age), allListed, Config{})
		ejected := 0
		for _, server := range state.Servers {
			if server.Ejected {
				ejected++
			}
			if !isPlausible(server) {
				t.Fatalf("implausible server state: %+v", server)
			}
		}
		scalesPossible := state.RateScale > 0 && state.SharedThresholdScale >= 1
		if ejected > servers/2 || report.Rejected == "" && !scalesPossible {
			t.Fatalf("%d of %d servers ejected, or an impossible scale; %+v", ejected, servers, state)
		}
		for _, bucket := range state.Buckets {
			if bucket.Tokens < 0 || bucket.Idle < 0 {
				t.Fatalf("implausible bucket: %+v", bucket)
			}
		}
	})
}

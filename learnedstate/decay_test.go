package learnedstate

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"

	"pgregory.net/rapid"
)

var then = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func snapshot(n int) Snapshot {
	s := Snapshot{Version: Version, Node: "n1", At: then, State: policy.LearnedState{RateScale: 1.5, SharedThresholdScale: 2}}
	for i := range n {
		s.State.Servers = append(s.State.Servers, policy.ServerState{Server: fmt.Sprint("s", i), Threshold: 8, Latency: 0.1, Ejected: i%3 == 0, EjectedFor: time.Duration(i) * time.Second, Ejections: 2})
	}
	s.State.Buckets = []policy.BucketState{{Tenant: "t", Tokens: 3}}
	return s
}

func known(string) (float64, time.Duration, bool) { return 2, 0, true }

// What was written is what is read; each byte that is changed, and each end that is missing, is found.
func TestEncode_RoundTripAndCorruption(t *testing.T) {
	s := snapshot(3)
	raw, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := Decode(raw); err != nil || !reflect.DeepEqual(back, s) {
		t.Fatalf("%+v, %v", back, err)
	}
	for i := range raw {
		if _, err := Decode(raw[:i]); err == nil {
			t.Fatalf("the first %d of %d bytes are taken", i, len(raw))
		}
		bad := append([]byte(nil), raw...)
		bad[i] ^= 0x20
		if back, err := Decode(bad); err == nil && !reflect.DeepEqual(back, s) {
			t.Fatalf("byte %d changed, and taken", i)
		}
	}
	if _, err := Decode([]byte("wayhold-knowledge 00000000\n")); !errors.Is(err, ErrChecksum) && !errors.Is(err, ErrNotSnapshot) {
		t.Error(err)
	}
	s.Version = 9
	if raw, _ = Encode(s); !strings.Contains(string(raw), `"version":1`) {
		t.Error("Encode writes another version than its own")
	}
}

// Thresholds go back to the prior by half each half-life, ejections run out and stay ejected to be tried out,
// buckets fill, and what is too old, of the future, or of another process is not believed.
func TestDecay_ByAge(t *testing.T) {
	for age, want := range map[time.Duration]float64{0: 8, time.Minute: 5, 2 * time.Minute: 3.5} {
		k, r := Decay(snapshot(4), then.Add(age), known, Config{})
		if got := k.Servers[1].Threshold; math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: threshold %v, want %v", age, got, want)
		}
		if s := k.Servers[3]; !s.Ejected || s.EjectedFor != max(0, 3*time.Second-age) {
			t.Errorf("after %v: %+v", age, s)
		}
		if b := k.Buckets[0]; b.Tokens != 3 || b.Idle != age {
			t.Errorf("after %v: %+v", age, b)
		}
		if r.Restored != 4 || r.Ejected != 2 || r.Rejected != "" {
			t.Errorf("after %v: %+v", age, r)
		}
	}
	for age, want := range map[time.Duration]string{time.Hour: "older", -time.Minute: "future"} {
		if k, r := Decay(snapshot(4), then.Add(age), known, Config{}); !strings.Contains(r.Rejected, want) || len(k.Servers) > 0 {
			t.Errorf("%v: %+v", age, r)
		}
	}
	s := snapshot(2)
	s.State.Servers[1].Uptime = time.Minute
	for up, replaced := range map[time.Duration]int{time.Minute + 10*time.Second: 0, time.Second: 1, 0: 1} {
		_, r := Decay(s, then.Add(10*time.Second), func(id string) (float64, time.Duration, bool) {
			if id == "s1" {
				return 2, up, true
			}
			return 0, 0, false
		}, Config{})
		if r.Restarted != replaced || r.NotListed != 1 {
			t.Errorf("up for %v: %+v", up, r)
		}
	}
	if k, _ := Decay(snapshot(4), then, known, Config{OtherNode: true}); len(k.Buckets) > 0 || k.Servers[1].Threshold != 5 {
		t.Errorf("of another node: %+v", k)
	}
}

// Whatever a snapshot says, what is adopted are figures that a node can have, and never are too many servers ejected.
func TestDecay_BoundsAnySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{At: then}
		figure := rapid.Float64()
		n := rapid.IntRange(0, 12).Draw(t, "servers")
		for i := range n {
			s.State.Servers = append(s.State.Servers, policy.ServerState{
				Server: fmt.Sprint(i), Threshold: figure.Draw(t, "threshold"), Latency: figure.Draw(t, "latency"),
				FaultRate: figure.Draw(t, "faults"), FaultScore: figure.Draw(t, "score"), Ejected: rapid.Bool().Draw(t, "out"), EjectedFor: time.Duration(rapid.Int64().Draw(t, "for")), Ejections: rapid.Int().Draw(t, "times"),
			})
		}
		s.State.RateScale, s.State.SharedThresholdScale = figure.Draw(t, "pace"), figure.Draw(t, "trust")
		s.State.Buckets = []policy.BucketState{{Tokens: rapid.Int64().Draw(t, "tokens"), Idle: time.Duration(rapid.Int64().Draw(t, "idle"))}}
		k, r := Decay(s, then.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "age"))), known, Config{})
		out := 0
		for _, e := range k.Servers {
			if e.Ejected {
				out++
			}
			if !(e.Threshold >= 0 && e.Threshold <= 1e6 && e.Latency >= 0 && e.Latency <= 3600 && e.FaultRate >= 0 && e.FaultRate <= 1 && e.FaultScore >= 0) || e.EjectedFor < 0 || e.EjectedFor > 10*time.Minute || e.Ejections < 0 || e.Ejections > 10 {
				t.Fatalf("%+v", e)
			}
		}
		if out > n/2 || r.Rejected == "" && !(k.RateScale > 0 && k.SharedThresholdScale >= 1) {
			t.Fatalf("%d of %d ejected; %+v", out, n, k)
		}
		for _, b := range k.Buckets {
			if b.Tokens < 0 || b.Idle < 0 {
				t.Fatalf("%+v", b)
			}
		}
	})
}

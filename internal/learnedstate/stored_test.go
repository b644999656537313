package learnedstate

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cobaltward/policy"
)

// TestDecode_FileOfEarlierVersion checks that a state file of an earlier version of the program is decoded. Encoding
// the snapshot again must yield the same bytes.
func TestDecode_FileOfEarlierVersion(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "node-state"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := Snapshot{
		Version: 1, Node: "node-1", At: time.Date(2026, 12, 1, 8, 30, 0, 0, time.UTC),
		State: policy.LearnedState{
			RateScale: 1.25, SharedThresholdScale: 2.5,
			Servers: []policy.ServerState{
				{Server: "s1", Threshold: 3.75, ThresholdReduced: true, Latency: 0.008, FaultRate: 0.02, FaultScore: 0.1},
				{
					Server: "s2", Uptime: 18200 * time.Millisecond, Threshold: 1.5, Latency: 0.05, FaultRate: 0.9,
					FaultScore: 0.8, Ejected: true, EjectedFor: 2500 * time.Millisecond, Ejections: 3,
				},
			},
			Buckets: []policy.BucketState{
				{Tenant: "acme", Class: "read", Tokens: 19, Idle: 41 * time.Millisecond},
				{Tenant: "umbra", Tokens: 4, Idle: 8 * time.Millisecond},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	again, err := Encode(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, raw) {
		t.Errorf("encoded again: %s, want %s", again, raw)
	}
}

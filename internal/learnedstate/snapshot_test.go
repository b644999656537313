package learnedstate

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
)

var takenAt = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// newSnapshot returns a snapshot with so many servers, each third of them ejected.
func newSnapshot(servers int) Snapshot {
	snapshot := Snapshot{
		Version: Version, Node: "n1", At: takenAt,
		State: policy.LearnedState{RateScale: 1.5, SharedThresholdScale: 2},
	}
	for i := range servers {
		snapshot.State.Servers = append(snapshot.State.Servers, policy.ServerState{
			Server: fmt.Sprint("s", i), Threshold: 8, Latency: 0.1,
			Ejected: i%3 == 0, EjectedFor: time.Duration(i) * time.Second, Ejections: 2,
		})
	}
	snapshot.State.Buckets = []policy.BucketState{{Tenant: "t", Tokens: 3}}
	return snapshot
}

// TestEncode_RoundTripAndCorruption checks that an encoded snapshot is decoded, and that each byte which is changed and
// each end which is missing is found.
func TestEncode_RoundTripAndCorruption(t *testing.T) {
	snapshot := newSnapshot(3)
	raw, err := Encode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Decode(raw); err != nil || !reflect.DeepEqual(decoded, snapshot) {
		t.Fatalf("%+v, %v", decoded, err)
	}
	for i := range raw {
		if _, err := Decode(raw[:i]); err == nil {
			t.Fatalf("the first %d of %d bytes are accepted", i, len(raw))
		}
		corrupt := append([]byte(nil), raw...)
		corrupt[i] ^= 0x20
		if decoded, err := Decode(corrupt); err == nil && !reflect.DeepEqual(decoded, snapshot) {
			t.Fatalf("byte %d is changed, and accepted", i)
		}
	}
	_, err = Decode([]byte("wayhold-knowledge 00000000\n"))
	if !errors.Is(err, ErrChecksum) && !errors.Is(err, ErrNotSnapshot) {
		t.Error(err)
	}
}

// TestEncode_Version checks that a snapshot is written with the version of its form.
func TestEncode_Version(t *testing.T) {
	snapshot := newSnapshot(1)
	snapshot.Version = 9
	raw, err := Encode(snapshot)
	if err != nil || !strings.Contains(string(raw), `"version":1`) {
		t.Errorf("%s, %v", raw, err)
	}
}

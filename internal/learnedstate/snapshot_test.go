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

// newSnapshot returns a snapshot with the given number of servers. Every third server is ejected.
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

// TestEncode_RoundTripAndCorruption checks that an encoded snapshot can be decoded. Decode must detect every changed
// byte and every truncation.
func TestEncode_RoundTripAndCorruption(t *testing.T) {
	snapshot := newSnapshot(3)
	raw, err := Encode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Decode(raw); err != nil || !reflect.DeepEqual(decoded, snapshot) {
		t.Fatalf("decoded %+v, error %v, want the encoded snapshot", decoded, err)
	}
	for i := range raw {
		if _, err := Decode(raw[:i]); err == nil {
			t.Fatalf("the first %d of %d bytes were accepted as a snapshot", i, len(raw))
		}
		corrupt := append([]byte(nil), raw...)
		corrupt[i] ^= 0x20
		if decoded, err := Decode(corrupt); err == nil && !reflect.DeepEqual(decoded, snapshot) {
			t.Fatalf("the snapshot was accepted with byte %d changed", i)
		}
	}
	_, err = Decode([]byte("wayhold-knowledge 00000000\n"))
	if !errors.Is(err, ErrChecksum) && !errors.Is(err, ErrNotSnapshot) {
		t.Error(err)
	}
}

// TestEncode_Version checks that Encode writes the current version, even if the snapshot has another version.
func TestEncode_Version(t *testing.T) {
	snapshot := newSnapshot(1)
	snapshot.Version = 9
	raw, err := Encode(snapshot)
	if err != nil || !strings.Contains(string(raw), `"version":1`) {
		t.Errorf("encoded %s, error %v, want version 1", raw, err)
	}
}

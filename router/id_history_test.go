package router

import (
	"testing"

	"cobaltward/policy"
)

// TestIDHistory_BoundedRetention checks that IDs are remembered for idRetention, and that the number of remembered
// IDs is limited.
func TestIDHistory_BoundedRetention(t *testing.T) {
	var history idHistory
	for i := range uint64(20) {
		now := timeOrigin + policy.Time(i)*idRetention
		if history.contains(i, now) {
			t.Fatal("a new ID was reported as known")
		}
		history.add(i, now)
		if !history.contains(i, now) {
			t.Fatal("a known ID was reported as new")
		}
		if i > 0 && !history.contains(i-1, now) {
			t.Errorf("r%d was forgotten within %v", i-1, idRetention)
		}
	}
	if history.len() > 4 {
		t.Errorf("%d and %d IDs are kept, want at most 4 in all", len(history.current), len(history.previous))
	}
	for i := range uint64(4 * maxIDsPerGeneration) {
		history.add(1000+i, timeOrigin+20*idRetention)
	}
	if len(history.current) > maxIDsPerGeneration || len(history.previous) > maxIDsPerGeneration {
		t.Errorf("%d and %d IDs are kept after a flood of IDs", len(history.current), len(history.previous))
	}
}

// TestIDHistory_ForgetsWithSparseTraffic checks that an ID is forgotten after twice idRetention, even if few other IDs
// or none have arrived in the meantime.
func TestIDHistory_ForgetsWithSparseTraffic(t *testing.T) {
	for name, queries := range map[string][]policy.Time{
		"none":             nil,
		"at the retention": {idRetention},
		"just before":      {2*idRetention - 1},
		"two":              {idRetention - 1, 2*idRetention - 1},
	} {
		t.Run(name, func(t *testing.T) {
			var history idHistory
			history.add(1, timeOrigin)
			for _, at := range queries {
				if !history.contains(1, timeOrigin+at) {
					t.Errorf("forgotten after %v", at)
				}
			}
			if history.contains(1, timeOrigin+2*idRetention) {
				t.Errorf("still remembered after %v", 2*idRetention)
			}
		})
	}
}

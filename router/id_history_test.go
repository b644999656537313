package router

import (
	"fmt"
	"hash/maphash"
	"testing"

	"cobaltward/policy"
)

// TestIDHistory_BoundedRetention checks that IDs are remembered for idRetention, and that the number of remembered
// IDs is limited.
func TestIDHistory_BoundedRetention(t *testing.T) {
	history := idHistory{seed: maphash.MakeSeed()}
	for i := range 20 {
		now := timeOrigin + policy.Time(i)*idRetention
		if !history.add(fmt.Sprint("r", i), now) || history.add(fmt.Sprint("r", i), now) {
			t.Fatal("a new ID was reported as known, or a known one as new")
		}
		if i > 0 && history.add(fmt.Sprint("r", i-1), now) {
			t.Errorf("r%d was forgotten within %v", i-1, idRetention)
		}
	}
	if len(history.current)+len(history.previous) > 4 {
		t.Errorf("%d and %d IDs are kept, want at most 4 in all", len(history.current), len(history.previous))
	}
	for i := range 4 * maxIDsPerGeneration {
		history.add(fmt.Sprint("flood", i), timeOrigin+20*idRetention)
	}
	if len(history.current) > maxIDsPerGeneration || len(history.previous) > maxIDsPerGeneration {
		t.Errorf("%d and %d IDs are kept after a flood of IDs", len(history.current), len(history.previous))
	}
}

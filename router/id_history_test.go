package router

import (
	"fmt"
	"hash/maphash"
	"testing"

	"cobaltward/policy"
)

// IDs are remembered long enough for their duplicates, and not for ever.
func TestIDHistory_BoundedRetention(t *testing.T) {
	history := idHistory{seed: maphash.MakeSeed()}
	for i := range 20 {
		now := timeOrigin + policy.Time(i)*idRetention
		if !history.add(fmt.Sprint("r", i), now) || history.add(fmt.Sprint("r", i), now) {
			t.Fatal("a new ID was taken for a known one, or a known one for new")
		}
		if i > 0 && history.add(fmt.Sprint("r", i-1), now) {
			t.Errorf("r%d is forgotten within %v", i-1, idRetention)
		}
	}
	if len(history.current)+len(history.previous) > 4 {
		t.Errorf("%d and %d IDs are kept", len(history.current), len(history.previous))
	}
	for i := range 4 * maxIDsPerGeneration {
		history.add(fmt.Sprint("flood", i), timeOrigin+20*idRetention)
	}
	if len(history.current) > maxIDsPerGeneration || len(history.previous) > maxIDsPerGeneration {
		t.Errorf("%d and %d IDs are kept of a flood", len(history.current), len(history.previous))
	}
}

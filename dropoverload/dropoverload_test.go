package dropoverload

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestShouldDrop_DropsTheFraction checks that the requested fraction of many ids is dropped. An id that is dropped at
// a fraction must also be dropped at a higher fraction.
func TestShouldDrop_DropsTheFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1).Draw(t, "part")
		higher := rapid.Float64Range(fraction, 1).Draw(t, "more")
		prefix := rapid.StringMatching(`[a-z0-9]{0,12}`).Draw(t, "prefix")
		at, above := Fractions{"rooms": fraction}, Fractions{"rooms": higher}
		const ids = 4000
		dropped := 0
		for i := range ids {
			id := fmt.Sprint(prefix, i)
			if at.ShouldDrop("rooms", id) {
				dropped++
				if !above.ShouldDrop("rooms", id) {
					t.Fatalf("id %s is dropped at fraction %v, but not at %v", id, fraction, higher)
				}
			}
			if at.ShouldDrop("", id) || at.ShouldDrop("others", id) {
				t.Fatalf("id %s is dropped without a pool or in a pool without a fraction", id)
			}
		}
		if off := math.Abs(float64(dropped)/ids - fraction); off > 5*math.Sqrt(0.25/ids) {
			t.Fatalf("%d of %d ids dropped, want about the fraction %v", dropped, ids, fraction)
		}
	})
}

// TestFraction_StableAcrossVersions checks that Fraction returns the same values as in earlier versions. Nodes of two
// versions must drop the same requests.
func TestFraction_StableAcrossVersions(t *testing.T) {
	for id, want := range map[string]float64{
		"":    0.93676944839044,
		"a":   0.5102945176565711,
		"r-1": 0.24691820611219262,
		"r-2": 0.6792227215271556,
	} {
		if got := Fraction(id); got != want {
			t.Errorf("fraction of id %q is %v, want %v", id, got, want)
		}
	}
}

// TestMerge_HighestFractionWins checks that Merge keeps the highest fraction of each name. It also checks Equal for
// equal and unequal fractions.
func TestMerge_HighestFractionWins(t *testing.T) {
	got := Merge(Fractions{"a": 0.2, "b": 0.1}, nil, Fractions{"a": 0.1, "c": 1})
	want := Fractions{"a": 0.2, "b": 0.1, "c": 1}
	if !got.Equal(want) || got.Equal(Fractions{"a": 0.2}) || (Fractions{}).Equal(got) {
		t.Errorf("merged: %v, want %v (or Equal is wrong)", got, want)
	}
}

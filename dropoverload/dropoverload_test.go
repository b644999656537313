package dropoverload

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Of many ids, the part that is asked for is dropped, and an id's fate is the same whenever it is asked
// and grows no better as the part grows.
func TestDropsThePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0, 1).Draw(t, "part")
		more := rapid.Float64Range(part, 1).Draw(t, "more")
		prefix := rapid.StringMatching(`[a-z0-9]{0,12}`).Draw(t, "prefix")
		p, q := Fractions{"rooms": part}, Fractions{"rooms": more}
		const n = 4000
		dropped := 0
		for i := range n {
			id := fmt.Sprint(prefix, i)
			if p.ShouldDrop("rooms", id) {
				dropped++
				if !q.ShouldDrop("rooms", id) {
					t.Fatalf("%s is dropped at %v and not at %v", id, part, more)
				}
			}
			if p.ShouldDrop("", id) || p.ShouldDrop("others", id) {
				t.Fatalf("%s of another pool, or none, is dropped", id)
			}
		}
		if off := math.Abs(float64(dropped)/n - part); off > 5*math.Sqrt(0.25/n) {
			t.Fatalf("%d of %d dropped, want the part %v", dropped, n, part)
		}
	})
}

func TestJoin(t *testing.T) {
	got := Merge(Fractions{"a": 0.2, "b": 0.1}, nil, Fractions{"a": 0.1, "c": 1})
	if want := (Fractions{"a": 0.2, "b": 0.1, "c": 1}); !got.Equal(want) || got.Equal(Fractions{"a": 0.2}) || (Fractions{}).Equal(got) {
		t.Errorf("%v, want %v", got, want)
	}
}

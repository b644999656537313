package sockets

import (
	"testing"
	"time"
)

// TestArrivalBoundsTheAgeOfARequest plays how requests come and are read: what is taken for their arrival is never later
// than it was.
func TestArrivalBoundsTheAgeOfARequest(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		play func(a *Arrival)
		want int // ms
	}{
		{"read as it came", func(a *Arrival) { a.RecordRead(at(10), at(40), true) }, 40},
		{"was there when it was accepted", func(a *Arrival) { a.RecordRead(at(400), at(400), true) }, 0},
		{"its body came later", func(a *Arrival) { a.RecordRead(at(10), at(40), true); a.RecordRead(at(41), at(90), true) }, 90},
		{"its body waited unread", func(a *Arrival) { a.RecordRead(at(10), at(40), true); a.RecordRead(at(700), at(700), true) }, 40},
		{"read in pieces that were there", func(a *Arrival) { a.RecordRead(at(10), at(40), false); a.RecordRead(at(700), at(700), true) }, 40},
		{"behind another", func(a *Arrival) { a.RecordRead(at(10), at(40), true); a.RecordNextStart(at(50)); a.Advance() }, 50},
		{"in one write with another", func(a *Arrival) { a.RecordRead(at(10), at(40), true); a.Advance() }, 40},
		{"after a rest", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.Reset(at(800))
			a.RecordRead(at(800), at(800), true)
		}, 800},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Arrival
			a.Reset(at(0))
			c.play(&a)
			if got := a.Earliest(); !got.Equal(at(c.want)) {
				t.Errorf("%v after the start, want %d ms", got.Sub(start), c.want)
			}
		})
	}
}

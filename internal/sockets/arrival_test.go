package sockets

import (
	"testing"
	"time"
)

// TestArrival_EarliestNeverAfterArrival checks that Earliest is never later than the actual arrival of a request. The
// request arrives in several ways and is read at different times.
func TestArrival_EarliestNeverAfterArrival(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name   string
		record func(a *Arrival)
		want   int // ms
	}{
		{"read as it arrives", func(a *Arrival) { a.RecordRead(at(10), at(40), true) }, 40},
		{"arrived before the accept", func(a *Arrival) { a.RecordRead(at(400), at(400), true) }, 0},
		{"body arrives later", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.RecordRead(at(41), at(90), true)
		}, 90},
		{"body unread for some time", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.RecordRead(at(700), at(700), true)
		}, 40},
		{"arrived before, read in pieces", func(a *Arrival) {
			a.RecordRead(at(10), at(40), false)
			a.RecordRead(at(700), at(700), true)
		}, 40},
		{"after another request", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.RecordNextStart(at(50))
			a.Advance()
		}, 50},
		{"in one write with another request", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.Advance()
		}, 40},
		{"read waits, then the process is paused", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.recordSlowRead(at(40), at(300), at(100), true)
		}, 100},
		{"process is paused while the request is unread", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.recordSlowRead(at(200), at(300), at(150), true)
		}, 40},
		{"read steadily and never empty", func(a *Arrival) {
			for i := range 5 { // 100 bytes a read, 300 unread
				a.RecordRead(at(400+50*i), at(400+50*i), false)
				a.RecordBacklog(at(400+50*i), uint64(100*(i+1)), func() int { return 300 })
			}
		}, 400},
		{"after an idle time", func(a *Arrival) {
			a.RecordRead(at(10), at(40), true)
			a.Reset(at(800))
			a.RecordRead(at(800), at(800), true)
		}, 800},
	} {
		t.Run(test.name, func(t *testing.T) {
			var arrival Arrival
			arrival.Reset(at(0))
			test.record(&arrival)
			if got := arrival.Earliest(); !got.Equal(at(test.want)) {
				t.Errorf("earliest arrival %v after the start, want %d ms", got.Sub(start), test.want)
			}
		})
	}
}

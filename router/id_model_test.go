package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// idModel is the life of one request in TestIDs_RandomHistories. Times are durations since the start of the test.
type idModel struct {
	id                       string
	start, body, stream, end time.Duration // end: after the last byte of the answer, released at start+body+stream+end
	reserved                 bool          // whether a frontend reserves the ID; otherwise Do does, and body and end are 0
	aborted                  bool          // whether the request breaks off before Do
	readAll                  bool
	copies                   []time.Duration
}

func drawIDModel(random *rand.Rand, number int) idModel {
	seconds := func(n int) time.Duration { return time.Duration(random.Int64N(int64(n) * int64(time.Second))) }
	request := idModel{
		id: fmt.Sprint("r", number), start: seconds(60), stream: seconds(50),
		reserved: random.IntN(3) > 0, readAll: random.IntN(4) > 0,
	}
	if request.reserved {
		request.body, request.end, request.aborted = seconds(30), seconds(30), random.IntN(8) == 0
	}
	for range 4 {
		request.copies = append(request.copies, request.start+seconds(120))
	}
	slices.Sort(request.copies)
	return request
}

// endsAt returns the time at which the use of the ID ends.
func (m *idModel) endsAt() time.Duration {
	if m.aborted {
		return m.start + m.body
	}
	return m.start + m.body + m.stream + m.end
}

// run plays the request against r.
func (m *idModel) run(t *testing.T, r *Router) {
	t.Helper()
	time.Sleep(m.start)
	req := readRequest(m.id)
	req.AcceptsStream = true
	if m.reserved {
		req.Reservation = r.ReserveID(m.id)
		defer req.Reservation.Release()
	}
	time.Sleep(m.body)
	if m.aborted {
		return
	}
	stream := wantDo(t, r, req, Served).Stream
	time.Sleep(m.stream)
	if m.readAll {
		_, _ = io.Copy(io.Discard, stream)
	}
	closeStreamOf(t, stream)
	time.Sleep(m.end)
}

// sendCopies sends requests with the same ID, until one of them is accepted. floodedAt returns the time of the last
// flood, which makes the router forget the IDs of ended requests.
func (m *idModel) sendCopies(t *testing.T, r *Router, began time.Time, floodedAt func() time.Duration) {
	t.Helper()
	for _, at := range m.copies {
		time.Sleep(time.Until(began.Add(at)))
		reservation := r.ReserveID(m.id)
		now, end := time.Since(began), m.endsAt()
		switch {
		case now < end && reservation != nil:
			t.Errorf("%+v: copy after %v accepted, although the ID is in use until %v", m, now, end)
		case now > end && now < end+idRetention && !m.aborted && floodedAt() < end && reservation != nil:
			t.Errorf("%+v: copy after %v accepted, although the request ended after %v", m, now, end)
		case now > end+2*idRetention && reservation == nil:
			t.Errorf("%+v: copy after %v rejected, although the request ended after %v", m, now, end)
		}
		if reservation != nil {
			reservation.Release()
			return
		}
	}
}

// TestIDs_RandomHistories plays random requests, with copies at random times and floods of other IDs, in virtual time.
// A copy must be rejected while the ID is in use, and for idRetention after that unless a flood came. It must be
// accepted twice idRetention after that. SEEDS sets the number of histories, SEED the first one.
func TestIDs_RandomHistories(t *testing.T) {
	const requests = 60
	seeds, first := envInt("SEEDS", 10), envInt("SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 81))
			r, _ := newTestRouter(t, &fakeTransport{attempt: serveStream}, sendOnce)
			began := time.Now()
			var mu sync.Mutex
			var lastFlood time.Duration
			floodedAt := func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return lastFlood
			}
			var all sync.WaitGroup
			for number := range requests {
				model := drawIDModel(random, number)
				all.Go(func() { model.run(t, r) })
				all.Go(func() { model.sendCopies(t, r, began, floodedAt) })
			}
			if random.IntN(2) == 0 {
				flood := time.Duration(random.Int64N(int64(90 * time.Second)))
				all.Go(func() {
					time.Sleep(flood)
					useIDs(r, 2*maxIDsPerGeneration+1)
					mu.Lock()
					defer mu.Unlock()
					lastFlood = time.Since(began)
				})
			}
			all.Wait()
			wantNothingLeft(t, r.Stats())
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// envInt returns the integer in an environment variable, or fallback if it is not set.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

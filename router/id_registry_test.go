package router

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// stringStream is a Stream with a fixed content.
type stringStream struct{ *strings.Reader }

func (s stringStream) Close() error  { return nil }
func (s stringStream) Length() int64 { return s.Size() }

// serveStream is an attemptFunc that succeeds at once with a streamed answer.
func serveStream(context.Context, string, *Request) Result {
	return Result{Code: policy.OK, Answer: Answer{Stream: stringStream{strings.NewReader("yes")}}}
}

// startStream calls Do for the request id, and returns the streamed answer.
func startStream(t *testing.T, r *Router, id string) Stream {
	t.Helper()
	req := readRequest(id)
	req.AcceptsStream = true
	stream := wantDo(t, r, req, Served).Stream
	if stream == nil {
		t.Fatalf("request %s: the answer is not streamed", id)
	}
	return stream
}

// closeStreamOf closes the streamed answer to a request.
func closeStreamOf(t *testing.T, stream Stream) {
	t.Helper()
	if err := stream.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
}

// TestID_InUseWhileAnswerIsStreamed guards against a second run of a request whose answer is still under way. Its ID
// must be in use until the stream is closed, however long that takes and however many other IDs arrive. Afterwards the
// ID is remembered for idRetention, and is free after twice idRetention.
func TestID_InUseWhileAnswerIsStreamed(t *testing.T) {
	tests := map[string]struct {
		stream time.Duration // time for which the answer is streamed
		flood  int           // number of IDs that are used in the meantime
		read   bool          // whether the caller reads the whole answer
	}{
		"slow":               {3 * idRetention, 0, true},
		"flood":              {0, 3 * maxIDsPerGeneration, true},
		"client disconnects": {3 * idRetention, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newTestRouter(t, &fakeTransport{attempt: serveStream}, sendOnce)
				stream := startStream(t, r, "long")
				useIDs(r, test.flood)
				for range test.stream / time.Second {
					time.Sleep(time.Second)
					useIDs(r, 1)
				}
				wantDo(t, r, readRequest("long"), Conflict)
				if inFlight := r.InFlight(); inFlight != 1 {
					t.Errorf("%d requests in flight, want the streamed one", inFlight)
				}
				if test.read {
					if _, err := io.Copy(io.Discard, stream); err != nil {
						t.Error(err)
					}
				}
				closeStreamOf(t, stream)
				wantFreed(t, r, "long")
			})
		})
	}
}

// useIDs makes the router remember n other IDs, as if requests with these IDs had ended now. It locks the registry
// once, because the race detector crashes after too many synchronizations of a goroutine.
func useIDs(r *Router, n int) {
	registry := r.loop.ids
	now := registry.now()
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for range n {
		registry.recent.add(rand.Uint64(), now)
	}
}

// wantFreed checks that the ID of a request that ends now is remembered for idRetention, and is free after twice
// idRetention. It checks that no other ID is in use.
func wantFreed(t *testing.T, r *Router, id string) {
	t.Helper()
	if open := r.Stats().IDs.Open; open != 0 || r.InFlight() != 0 {
		t.Errorf("%d IDs in use, %d requests in flight; want none", open, r.InFlight())
	}
	time.Sleep(idRetention - time.Second)
	wantDo(t, r, readRequest(id), Conflict)
	time.Sleep(idRetention + time.Second)
	wantDo(t, r, readRequest(id), Served)
}

// TestReservation_KeepsIDInUse checks that a reservation keeps an ID in use before, during and after Do. The ID of a
// request that did not reach the router is free again at once.
func TestReservation_KeepsIDInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, sendOnce)
		r.ReserveID("aborted").Release()
		wantDo(t, r, readRequest("aborted"), Served)

		req := readRequest("reserved")
		req.Reservation = r.ReserveID(req.ID)
		time.Sleep(3 * idRetention)
		wantDo(t, r, readRequest(req.ID), Conflict)
		if r.ReserveID(req.ID) != nil {
			t.Error("an ID was reserved twice")
		}
		wantDo(t, r, req, Served)
		time.Sleep(3 * idRetention)
		wantDo(t, r, readRequest(req.ID), Conflict)
		if stats := r.Stats(); stats.IDs.OpenConflicts != 3 || stats.IDs.RecentConflicts != 0 || r.InFlight() != 1 {
			t.Errorf("conflicts %+v, %d in flight; want 3 with an ID in use, and 1 in flight", stats.IDs, r.InFlight())
		}
		if accepted := r.Metrics().Accepted; accepted != 2 {
			t.Errorf("%d requests accepted, want 2 without the conflicts", accepted)
		}
		req.Reservation.Release()
		req.Reservation.Release() // does nothing
		wantFreed(t, r, req.ID)
	})
}

// TestReservation_Misused checks that a reservation is valid for one call of Do with its own ID.
func TestReservation_Misused(t *testing.T) {
	tests := map[string]func(r *Router, req *Request){
		"other ID": func(r *Router, req *Request) { req.Reservation = r.ReserveID("other") },
		"released": func(r *Router, req *Request) {
			req.Reservation = r.ReserveID(req.ID)
			req.Reservation.Release()
		},
		"used before": func(r *Router, req *Request) {
			req.Reservation = r.ReserveID(req.ID)
			_, _ = r.Do(context.Background(), *req) // its result is of no interest
		},
	}
	for name, reserve := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, sendOnce)
				req := readRequest("r1")
				reserve(r, &req)
				_, err := r.Do(t.Context(), req)
				wantInvalid(t, err, "Reservation")
			})
		})
	}
}

// TestID_InUseWhileAttemptRuns checks that the ID of an abandoned request stays in use until its attempt has ended,
// even if that takes longer than twice idRetention.
func TestID_InUseWhileAttemptRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testConfig()
		for i := range config.Settings.Classes {
			config.Settings.Classes[i].Deadline = 10 * idRetention
		}
		release := make(chan struct{})
		r, _ := newTestRouterWithConfig(t, config, &fakeTransport{attempt: serveAfter(release)}, sendTimes(1))
		ctx, cancel := context.WithCancel(t.Context())
		abandoned := startDo(ctx, r, readRequest("r1"))
		synctest.Wait()
		cancel()
		<-abandoned
		time.Sleep(3 * idRetention)
		wantDo(t, r, readRequest("r1"), Conflict)
		close(release)
	})
}

// sharedLocks is the set of locked IDs of several routers.
type sharedLocks struct {
	mu     sync.Mutex
	owners map[string]*routerLocks // by ID
}

// routerLocks is the IDLocker of one router.
type routerLocks struct{ shared *sharedLocks }

func (l *routerLocks) TryLock(id string) bool {
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	if owner := l.shared.owners[id]; owner != nil && owner != l {
		return false
	}
	l.shared.owners[id] = l
	return true
}

func (l *routerLocks) Unlock(id string) {
	l.shared.mu.Lock()
	defer l.shared.mu.Unlock()
	if l.shared.owners[id] == l {
		delete(l.shared.owners, id)
	}
}

// TestShareIDs_ConflictAcrossRouters checks that a router rejects the IDs that another router has in use, including
// those that were in use before the IDs were shared. IDs that are no longer in use or no longer shared are free.
func TestShareIDs_ConflictAcrossRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := &sharedLocks{owners: make(map[string]*routerLocks)}
		first, _ := newTestRouter(t, &fakeTransport{attempt: serveStream}, sendOnce)
		second, _ := newTestRouter(t, &fakeTransport{attempt: serveStream}, sendOnce)
		early := startStream(t, first, "early")
		first.ShareIDs(&routerLocks{shared})
		second.ShareIDs(&routerLocks{shared})
		late := startStream(t, first, "late")
		wantDo(t, second, readRequest("early"), Conflict)
		wantDo(t, second, readRequest("late"), Conflict)
		closeStreamOf(t, early)
		closeStreamOf(t, startStream(t, second, "early"))
		wantDo(t, first, readRequest("early"), Conflict) // remembered by the first router itself
		first.ShareIDs(nil)
		closeStreamOf(t, startStream(t, second, "late"))
		closeStreamOf(t, late)
		if len(shared.owners) != 0 {
			t.Errorf("IDs are still locked: %v", shared.owners)
		}
	})
}

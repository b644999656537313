package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// wantDrainState checks the phase of r, and the number of calls of the Shutdown of listener.
func wantDrainState(t *testing.T, r *Router, listener *fakeListener, phase Phase, shutdowns int32) {
	t.Helper()
	if got, n := r.Phase(), listener.shutdowns.Load(); got != phase || n != shutdowns {
		t.Errorf("phase %v after %d shutdowns of the listener, want %v and %d", got, n, phase, shutdowns)
	}
}

// TestDrain_PhasesInOrder checks that a drain first keeps serving, then makes its listeners stop accepting, and ends
// with the last request.
func TestDrain_PhasesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		listener := &fakeListener{release: make(chan struct{})}
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAfter(release)}, nil,
			WithListener(listener), WithDrainDelay(time.Second))
		open := startDo(t.Context(), r, readRequest("open"))
		synctest.Wait()
		drained := make(chan error, 2)
		for range 2 { // a second call waits for the same drain
			go func() { drained <- r.Drain(t.Context()) }()
		}
		time.Sleep(500 * ms)
		wantDrainState(t, r, listener, Draining, 0)
		late := startDo(t.Context(), r, readRequest("late"))
		time.Sleep(time.Second)
		wantDrainState(t, r, listener, Closing, 1)
		close(listener.release)
		synctest.Wait()
		wantDrainState(t, r, listener, Closing, 1) // requests are still open
		close(release)
		for range 2 {
			if err := <-drained; err != nil {
				t.Error(err)
			}
		}
		wantResult(t, "open", open, Served)
		wantResult(t, "late", late, Served)
		if _, err := r.Do(t.Context(), readRequest("after")); !errors.Is(err, ErrDrained) {
			t.Errorf("Do after the drain: error %v, want ErrDrained", err)
		}
	})
}

// TestDrain_WaitsForListenersWithoutWork checks that a drain without open requests waits for its listeners. Requests
// must be served on connections that the operating system has accepted for a listener.
func TestDrain_WaitsForListenersWithoutWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &fakeListener{release: make(chan struct{})}
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, sendOnce, WithListener(listener), WithDrainDelay(ms))
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(t.Context()) }()
		time.Sleep(500 * ms)
		wantDrainState(t, r, listener, Closing, 1)
		wantDo(t, r, readRequest("late"), Served)
		close(listener.release)
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// TestDrain_DeadlineAnswersOpenRequests checks that open requests are answered once at the deadline of a drain. The
// answer is Failed if the request may have run, and Rejected otherwise.
func TestDrain_DeadlineAnswersOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, sendOnceExcept("queued"), WithDrainDelay(0))
		sent := startDo(t.Context(), r, readRequest("sent"))
		queued := startDo(t.Context(), r, readRequest("queued"))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := r.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Drain: error %v, want deadline exceeded", err)
		}
		wantResult(t, "sent", sent, Failed)
		wantResult(t, "queued", queued, Rejected)
		synctest.Wait()
		stats := r.Stats()
		wantNothingLeft(t, stats)
		if stats.Phase != Drained {
			t.Errorf("phase %v, want drained", stats.Phase)
		}
	})
}

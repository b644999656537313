package agent

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

const (
	watchTimeout = 10 * time.Second       // maximum time that a replica waits for a newer state before it responds
	watchSlack   = 3 * time.Second        // time beyond watchTimeout after which a request fails
	minBackoff   = 200 * time.Millisecond // minimum backoff, before jitter
	maxBackoff   = 10 * time.Second       // maximum backoff, before jitter
)

// errReportChanged is the cause when a request with an outdated report is canceled.
var errReportChanged = errors.New("the report has changed")

// StateWatcher follows the state of the fleet with watch requests to the replicas. It keeps the newest state that any
// replica has returned. It is safe for concurrent use.
type StateWatcher struct {
	client        *Client
	report        func() consensus.AgentReport // returns the report for each request
	log           *slog.Logger
	watchTimeout  time.Duration
	reportChanged chan struct{} // capacity 1; full: the report has changed

	mu           sync.Mutex
	state        *fleet.State
	lastResponse time.Time
	updated      chan struct{} // closed and replaced when there is a newer state
}

// NewStateWatcher returns a watcher that starts with the empty state. report returns the report on this process for
// each request.
func NewStateWatcher(client *Client, report func() consensus.AgentReport, log *slog.Logger) *StateWatcher {
	return &StateWatcher{
		client:        client,
		report:        report,
		log:           log,
		watchTimeout:  watchTimeout,
		reportChanged: make(chan struct{}, 1),
		state:         fleet.NewState(0),
		updated:       make(chan struct{}),
	}
}

// State returns the newest state, and the time at which a replica last responded. The time is zero if no replica has
// responded.
func (w *StateWatcher) State() (state *fleet.State, lastResponse time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.lastResponse
}

// Updates returns a channel that is closed when a state newer than the current one arrives.
func (w *StateWatcher) Updates() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updated
}

// WaitFor waits until the state has reached position. It returns the error of ctx if ctx is done first.
func (w *StateWatcher) WaitFor(ctx context.Context, position fleet.Position) error {
	for {
		updates := w.Updates()
		if state, _ := w.State(); state.Position >= position {
			return nil
		}
		select {
		case <-updates:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ReportChanged makes the watcher cancel the waiting request, whose report is outdated, and send the next request at
// once.
func (w *StateWatcher) ReportChanged() {
	select {
	case w.reportChanged <- struct{}{}:
	default:
	}
}

// Run follows the state until ctx is done. It begins with a random replica, and changes to the next replica after a
// failure. After each failure it waits with exponential backoff and jitter. Without backoff and jitter,
// recovered replicas would get the requests of all watchers at once.
func (w *StateWatcher) Run(ctx context.Context) {
	backoff := minBackoff
	next := rand.IntN(max(1, len(w.client.Replicas)))
	for ctx.Err() == nil {
		if w.poll(ctx, w.client.Replicas[next%len(w.client.Replicas)]) {
			backoff = minBackoff
			continue
		}
		next++
		select {
		case <-time.After(backoff/2 + rand.N(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll sends one watch request to the replica at address. It reports whether the next request may follow without
// backoff.
func (w *StateWatcher) poll(ctx context.Context, address string) (ok bool) {
	select {
	case <-w.reportChanged: // this request carries the new report
	default:
	}
	state, _ := w.State()
	request := consensus.WatchRequest{AgentReport: w.report(), Wait: w.watchTimeout}
	request.Epoch, request.Position = state.Epoch, state.Position
	ctx, cancel := context.WithTimeout(ctx, w.watchTimeout+watchSlack)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	go func() { // ends when ctx is done
		select {
		case <-w.reportChanged:
			cancelCause(errReportChanged)
		case <-ctx.Done():
		}
	}()
	start := time.Now()
	var response consensus.WatchResponse
	if err := w.client.Call(ctx, http.MethodPost, address, "/state", request, &response); err != nil {
		if errors.Is(context.Cause(ctx), errReportChanged) {
			return true
		}
		w.log.Debug("fleet: watch request failed", "replica", address, "error", err)
		return false
	}
	// Back off after a response without a leader, because the replica then has no newer state. Also back off if the
	// replica responded early without a newer state: it may have an older epoch or run a newer program. Without backoff
	// the watcher would send requests in a busy loop.
	advanced := w.updateState(state, response)
	return response.HasLeader && (advanced || time.Since(start) >= w.watchTimeout/2)
}

// updateState applies response to from, the state from which the watcher requested it. If the resulting state is
// newer than the current state, updateState adopts it and returns true.
func (w *StateWatcher) updateState(from *fleet.State, response consensus.WatchResponse) bool {
	next, err := applyResponse(from, response)
	if err != nil {
		w.log.Error("fleet: state not applied; continuing with the last one known", "error", err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastResponse = time.Now()
	if !next.NewerThan(w.state) {
		return false
	}
	w.state = next
	close(w.updated)
	w.updated = make(chan struct{})
	return true
}

// applyResponse returns the state after a response: either the state in the response, or its entries applied to from.
// It returns from if the response has nothing newer.
func applyResponse(from *fleet.State, response consensus.WatchResponse) (*fleet.State, error) {
	if response.State != nil {
		if response.State.NewerThan(from) {
			return response.State, nil
		}
		return from, nil
	}
	next := from
	for _, entry := range response.Entries {
		if entry.Position <= next.Position {
			continue
		}
		applied, _, err := next.Apply(entry.Position, entry.Raw)
		if err != nil {
			return nil, err
		}
		next = applied
	}
	return next, nil
}

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
	watchTimeout = 10 * time.Second       // how long a replica may wait for a newer state before it responds
	watchSlack   = 3 * time.Second        // how long after watchTimeout a request without a response fails
	minBackoff   = 200 * time.Millisecond // before jitter
	maxBackoff   = 10 * time.Second       // before jitter
)

// errReportChanged is the cause of canceling a request whose report is outdated.
var errReportChanged = errors.New("the report has changed")

// StateWatcher follows the state of the fleet with watch requests to the replicas, and keeps the newest state that any
// of them has returned. It is safe for concurrent use.
type StateWatcher struct {
	client        *Client
	report        func() consensus.AgentReport // returns the report on this process for each request
	log           *slog.Logger
	watchTimeout  time.Duration
	reportChanged chan struct{} // has a buffer of one, which is full if the report has changed

	mu           sync.Mutex
	state        *fleet.State
	lastResponse time.Time
	updated      chan struct{} // closed and replaced when there is a newer state
}

// NewStateWatcher returns a watcher that starts with the empty state. report returns the report on this process that
// each request carries.
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

// State returns the newest state, and when a replica last responded; the zero time if none has.
func (w *StateWatcher) State() (state *fleet.State, lastResponse time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.lastResponse
}

// Updates returns a channel that is closed when there is a newer state than the current one.
func (w *StateWatcher) Updates() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updated
}

// WaitFor waits until the state is at a position or beyond it. It returns the error of ctx if ctx is done first.
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

// ReportChanged cancels the waiting request, which carries an outdated report, and sends the next one at once.
func (w *StateWatcher) ReportChanged() {
	select {
	case w.reportChanged <- struct{}{}:
	default:
	}
}

// Run follows the state until ctx is done. It begins with a random replica, and changes to the next one after a
// failure. Failures are followed by exponential backoff with jitter, so that recovered replicas do not get the
// requests of all watchers at once.
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

// poll sends one watch request to a replica. ok means that the next request may follow without backoff.
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
	// A replica without a leader has no newer state. A replica may also respond at once without a newer state,
	// because it has an older epoch or runs a newer program; without backoff it would get requests in a busy loop.
	advanced := w.updateState(state, response)
	return response.HasLeader && (advanced || time.Since(start) >= w.watchTimeout/2)
}

// updateState applies a response to the state from which it was requested, and adopts the result if it is newer than
// the current state. It reports whether it is.
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

// applyResponse returns the state after a response: the state or the entries that it has, applied to from. It returns
// from if the response has nothing newer.
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

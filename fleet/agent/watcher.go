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
	watchTimeout = 10 * time.Second // that a replica may wait for news
	watchSlack   = 3 * time.Second  // beyond watchTimeout, after which a request has failed
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// errReportChanged ends a request whose report is out of date.
var errReportChanged = errors.New("the report has changed")

// StateWatcher keeps the newest state that any replica has shown. Its methods may be called from several goroutines
// at once.
type StateWatcher struct {
	client        *Client
	report        func() consensus.AgentReport // the report on this process in each request
	log           *slog.Logger
	watchTimeout  time.Duration
	reportChanged chan struct{} // holds one if the report has changed

	mu           sync.Mutex
	state        *fleet.State
	lastResponse time.Time
	updated      chan struct{} // closed, and replaced, when the state is a newer one
}

// NewStateWatcher returns a watcher that knows the empty state. report returns what each request says of this
// process.
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

// State returns the newest state, and when a replica last answered; the zero time if none has.
func (w *StateWatcher) State() (state *fleet.State, lastResponse time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.lastResponse
}

// Updates returns a channel that is closed when there is a newer state than that of now.
func (w *StateWatcher) Updates() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updated
}

// WaitFor returns once the state is at a position or beyond, or with the error of ctx.
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

// ReportChanged has the next request sent at once: the waiting one carries an outdated report.
func (w *StateWatcher) ReportChanged() {
	select {
	case w.reportChanged <- struct{}{}:
	default:
	}
}

// Run watches until ctx ends. Replicas are asked in turn, beginning with any. After a failure it backs off, the
// longer the more have failed, with jitter, so that replicas that are back do not meet all watchers at once.
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

// poll asks a replica once; ok reports that it is worth asking again without backing off.
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
	go func() { // ends with ctx
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
	// A replica that is cut off knows nothing new. One that answers at once with nothing that leads on, of a former
	// epoch or of a newer program, would be asked again and again without backing off.
	advanced := w.advance(state, response)
	return response.HasLeader && (advanced || time.Since(start) >= w.watchTimeout/2)
}

// advance takes over the state to which a response leads from an earlier state, and reports whether it is a newer
// one.
func (w *StateWatcher) advance(from *fleet.State, response consensus.WatchResponse) bool {
	next, err := successor(from, response)
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

// successor returns the state to which a response leads; from if it leads nowhere.
func successor(from *fleet.State, response consensus.WatchResponse) (*fleet.State, error) {
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

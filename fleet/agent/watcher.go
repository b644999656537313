package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

const (
	watchTimeout = 10 * time.Second
	watchSlack   = 3 * time.Second // beyond it a poll has failed
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// StateWatcher keeps the newest state that any member has told. Its methods may be called at once from many goroutines.
type StateWatcher struct {
	client        *Client
	report        func() consensus.AgentReport // what is said of this process with each question
	log           *slog.Logger
	watchTimeout  time.Duration
	reportChanged chan struct{} // holds one where the report has changed

	mu           sync.Mutex
	state        *fleet.State
	lastResponse time.Time // of the last answer
	updated      chan struct{}
}

// NewStateWatcher makes one that knows nothing yet.
func NewStateWatcher(c *Client, report func() consensus.AgentReport, log *slog.Logger) *StateWatcher {
	return &StateWatcher{client: c, report: report, log: log, watchTimeout: watchTimeout, state: fleet.NewState(0), updated: make(chan struct{}), reportChanged: make(chan struct{}, 1)}
}

// State is the newest state, and when a member last answered.
func (f *StateWatcher) State() (*fleet.State, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.lastResponse
}

// Updates is closed when a newer state is there.
func (f *StateWatcher) Updates() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.updated
}

// WaitFor returns once the state is at a place of the log, or beyond.
func (f *StateWatcher) WaitFor(ctx context.Context, at fleet.Position) error {
	for {
		news := f.Updates()
		if s, _ := f.State(); s.Position >= at {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ReportChanged has the next question asked at once: what is said of this process has changed, and a question that waits for
// news has said the former.
func (f *StateWatcher) ReportChanged() {
	select {
	case f.reportChanged <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends. Members are asked in turn from a place of its own; after a failure it rests, the longer
// the more have failed, for a time that is spread, so that a council that is back is not met by all at once.
func (f *StateWatcher) Run(ctx context.Context) {
	pause := minBackoff
	at := rand.IntN(max(1, len(f.client.Replicas)))
	for ctx.Err() == nil {
		if f.poll(ctx, f.client.Replicas[at%len(f.client.Replicas)]) {
			pause = minBackoff
			continue
		}
		at++
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxBackoff)
	}
}

// poll asks a member once; ok says that it is worth asking again.
func (f *StateWatcher) poll(ctx context.Context, addr string) (ok bool) {
	select {
	case <-f.reportChanged: // this question says it
	default:
	}
	s, _ := f.State()
	q := consensus.WatchRequest{AgentReport: f.report(), Wait: f.watchTimeout}
	q.Epoch, q.Position = s.Epoch, s.Position
	ctx, stop := context.WithTimeout(ctx, f.watchTimeout+watchSlack)
	defer stop()
	told := make(chan bool, 1)
	go func() {
		select {
		case <-f.reportChanged:
			told <- true
			stop()
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	var a consensus.WatchResponse
	if err := f.client.Call(ctx, http.MethodPost, addr, "/state", q, &a); err != nil {
		select {
		case <-told:
			return true // it was given up for the next one
		default:
		}
		f.log.Debug("fleet: a member does not answer", "error", err)
		return false
	}
	// One that is cut off knows nothing new, and one that answers at once with nothing that leads on (of a former
	// council, or of a newer program) would be asked without a rest.
	return f.advance(s, a) && a.HasLeader || a.HasLeader && time.Since(began) >= f.watchTimeout/2
}

// advance goes on to what an answer leads to, never back; on says that it led on.
func (f *StateWatcher) advance(from *fleet.State, a consensus.WatchResponse) (on bool) {
	next := from
	if a.State != nil && a.State.NewerThan(from) {
		next = a.State
	} else if a.State == nil {
		for _, e := range a.Entries {
			if e.Position <= next.Position {
				continue
			}
			s, _, err := next.Apply(e.Position, e.Raw)
			if err != nil {
				f.log.Error("fleet: the state is of a newer program, and this one goes on with the last it knows", "error", err)
				return false
			}
			next = s
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse = time.Now()
	if next.NewerThan(f.state) {
		f.state = next
		close(f.updated)
		f.updated = make(chan struct{})
		return true
	}
	return false
}

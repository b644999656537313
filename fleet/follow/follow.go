package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/council"
)

const (
	longPoll   = 10 * time.Second
	pollSlack  = 3 * time.Second // beyond it a poll has failed
	firstPause = 200 * time.Millisecond
	mostPause  = 10 * time.Second
)

// Follower keeps the newest state that any member has told. Its methods may be called at once from many goroutines.
type Follower struct {
	client *Client
	report func() council.Report // what is said of this process with each question
	log    *slog.Logger
	wait   time.Duration
	again  chan struct{} // holds one where the report has changed

	mu    sync.Mutex
	state *fleet.State
	heard time.Time // of the last answer
	news  chan struct{}
}

// NewFollower makes one that knows nothing yet.
func NewFollower(c *Client, report func() council.Report, log *slog.Logger) *Follower {
	return &Follower{client: c, report: report, log: log, wait: longPoll, state: fleet.NewState(0), news: make(chan struct{}), again: make(chan struct{}, 1)}
}

// State is the newest state, and when a member last answered.
func (f *Follower) State() (*fleet.State, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.heard
}

// News is closed when a newer state is there.
func (f *Follower) News() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news
}

// Await returns once the state is at a place of the log, or beyond.
func (f *Follower) Await(ctx context.Context, at fleet.Position) error {
	for {
		news := f.News()
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

// Report has the next question asked at once: what is said of this process has changed, and a question that waits for
// news has said the former.
func (f *Follower) Report() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends. Members are asked in turn from a place of its own; after a failure it rests, the longer
// the more have failed, for a time that is spread, so that a council that is back is not met by all at once.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	at := rand.IntN(max(1, len(f.client.Council)))
	for ctx.Err() == nil {
		if f.ask(ctx, f.client.Council[at%len(f.client.Council)]) {
			pause = firstPause
			continue
		}
		at++
		select {
		case <-time.After(pause/2 + rand.N(pause)):
		case <-ctx.Done():
		}
		pause = min(2*pause, mostPause)
	}
}

// ask asks a member once; ok says that it is worth asking again.
func (f *Follower) ask(ctx context.Context, addr string) (ok bool) {
	select {
	case <-f.again: // this question says it
	default:
	}
	s, _ := f.State()
	q := council.Question{Report: f.report(), Wait: f.wait}
	q.Epoch, q.At = s.Epoch, s.Position
	ctx, stop := context.WithTimeout(ctx, f.wait+pollSlack)
	defer stop()
	told := make(chan bool, 1)
	go func() {
		select {
		case <-f.again:
			told <- true
			stop()
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	var a council.Answer
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
	return f.take(s, a) && a.Leader || a.Leader && time.Since(began) >= f.wait/2
}

// take goes on to what an answer leads to, never back; on says that it led on.
func (f *Follower) take(from *fleet.State, a council.Answer) (on bool) {
	next := from
	if a.State != nil && a.State.NewerThan(from) {
		next = a.State
	} else if a.State == nil {
		for _, e := range a.Entries {
			if e.At <= next.Position {
				continue
			}
			s, _, err := next.Apply(e.At, e.Raw)
			if err != nil {
				f.log.Error("fleet: the state is of a newer program, and this one goes on with the last it knows", "error", err)
				return false
			}
			next = s
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
	if next.NewerThan(f.state) {
		f.state = next
		close(f.news)
		f.news = make(chan struct{})
		return true
	}
	return false
}

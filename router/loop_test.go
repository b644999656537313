package router

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

const (
	ms            = time.Millisecond
	classDeadline = 9 * time.Second // the deadline of every class; the bubbles' clocks make it cost nothing
)

// scriptedBalancer is a module that answers each event as a test says, and keeps what it was told.
type scriptedBalancer struct {
	mu       sync.Mutex
	received []policy.Event
	respond  func(policy.Time, policy.Event) []policy.Action
}

func (s *scriptedBalancer) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, ev)
	return s.respond(now, ev)
}

func (s *scriptedBalancer) Reconfigure(policy.Time, policy.Settings) ([]policy.Action, error) {
	return nil, nil
}

// eventNames lists what the module was told, in short words.
func (s *scriptedBalancer) eventNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, ev := range s.received {
		switch e := ev.(type) {
		case policy.EndpointList:
			all = append(all, fmt.Sprintf("list %d", e.Kind))
		case policy.Request:
			all = append(all, "request "+e.ID)
		case policy.Outcome:
			all = append(all, fmt.Sprintf("outcome %s %d code %d ended %v", e.ID, e.Attempt, e.Code, e.Answered))
		case policy.ClientGone:
			all = append(all, "lapsed "+e.ID)
		case policy.Timer:
			all = append(all, fmt.Sprintf("timer %d", e.Token))
		}
	}
	return all
}

func (s *scriptedBalancer) wantEvents(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	if got := s.eventNames(); !reflect.DeepEqual(got, want) {
		t.Errorf("the module was told\n%q, want\n%q", got, want)
	}
}

// fakeTransport is a transport whose attempts end as a test says. It keeps what reached it.
type fakeTransport struct {
	attempt func(ctx context.Context, server string, r *Request) Result

	mu      sync.Mutex
	sent    []string // "id server"
	updates []EndpointUpdate
	closed  int

	configured atomic.Int32
}

func (f *fakeTransport) Attempt(ctx context.Context, server string, r *Request) Result {
	f.mu.Lock()
	f.sent = append(f.sent, r.ID+" "+server)
	f.mu.Unlock()
	return f.attempt(ctx, server, r)
}

func (f *fakeTransport) Update(c EndpointUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates = append(f.updates, c)
}

func (f *fakeTransport) Configure(policy.Settings) { f.configured.Add(1) }
func (f *fakeTransport) CloseIdle(string)          {}

func (f *fakeTransport) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed++
}

func (f *fakeTransport) attemptsMade() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.sent...)
}

// serveAtOnce answers each attempt at once; hangs ends none before its context does.
func serveAtOnce(context.Context, string, *Request) Result {
	return Result{Code: policy.OK, Answer: Answer{Body: []byte("yes")}}
}

func hangUntilCancelled(ctx context.Context, _ string, _ *Request) Result {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return Result{Code: policy.Cancelled}
	}
	return Result{Code: policy.TimedOut}
}

func testConfig() Config {
	return Config{MaxInFlight: 100, Endpoints: testEndpoints(1), Settings: policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 4 * time.Second, Deadline: classDeadline, Idempotency: policy.Idempotent},
			{Name: "pay", LatencyObjective: 4 * time.Second, Deadline: classDeadline, Idempotency: policy.NonIdempotent},
			{Name: "undo", LatencyObjective: 4 * time.Second, Deadline: classDeadline, Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll, DedupWindow: 4 * time.Second},
		},
		Tenants:      []policy.Tenant{{Name: "t", Quota: 100_000}},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules:        policy.Rules{DrainGrace: 500 * ms, SlowStartWindow: time.Second, SlowStartShare: 0.5, OverloadFactor: 3, OverloadDuration: time.Second},
	}}
}

func testEndpoints(n int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{ID: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "a", Weight: 1})
	}
	return all
}

// newTestRouter starts a router around a transport, and around a scripted module if answer is not nil. It is
// to be called inside a bubble, and is closed with the test.
func newTestRouter(t *testing.T, f *fakeTransport, answer func(policy.Time, policy.Event) []policy.Action, opts ...Option) (*Router, *scriptedBalancer) {
	t.Helper()
	return newTestRouterWithConfig(t, testConfig(), f, answer, opts...)
}

func newTestRouterWithConfig(t *testing.T, c Config, f *fakeTransport, answer func(policy.Time, policy.Event) []policy.Action, opts ...Option) (*Router, *scriptedBalancer) {
	t.Helper()
	o := options{log: slog.New(slog.DiscardHandler), endpointSource: StaticEndpoints{}, transport: f}
	for _, set := range opts {
		set(&o)
	}
	if err := c.validate(); err != nil {
		t.Fatal(err)
	}
	l, err := newLoop(c, o, clock{start: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedBalancer{respond: answer}
	if answer != nil {
		l.balancer = s
	}
	r := start(l, c, o)
	t.Cleanup(func() { r.Close() })
	synctest.Wait()
	return r, s
}

func readRequest(id string) Request {
	return Request{ID: id, Class: "read", Tenant: "t", Target: "/api"}
}

type doResult struct {
	Answer
	err error
}

// startDo calls Do in a goroutine.
func startDo(ctx context.Context, r *Router, req Request) chan doResult {
	done := make(chan doResult, 1)
	go func() {
		a, err := r.Do(ctx, req)
		done <- doResult{a, err}
	}()
	return done
}

func sendActions(id string, n int) (all []policy.Action) {
	for range n {
		all = append(all, policy.Action{Kind: policy.Send, ID: id, Server: "s0"})
	}
	return all
}

// sendOnce is a module that sends each request once, and fails what is not served.
func sendOnce(_ policy.Time, ev policy.Event) []policy.Action {
	switch e := ev.(type) {
	case policy.Request:
		return sendActions(e.ID, 1)
	case policy.Outcome:
		return []policy.Action{{Kind: policy.Fail, ID: e.ID}}
	case policy.ClientGone:
		return []policy.Action{{Kind: policy.Cancel, ID: e.ID}}
	}
	return nil
}

func noActions(policy.Time, policy.Event) []policy.Action { return nil }

// The restored list comes first, and the one outcome of a served request says that it has ended.
func TestOrderOfEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sendActions(e.ID, 1)
			case policy.Outcome:
				return []policy.Action{{Kind: policy.SetTimer, Token: 77, Wait: ms}}
			}
			return nil
		})
		a, err := r.Do(t.Context(), readRequest("r1"))
		if err != nil || a.Outcome != Served || string(a.Body) != "yes" {
			t.Errorf("answer %v %q, error %v", a.Outcome, a.Body, err)
		}
		time.Sleep(2 * ms)
		s.wantEvents(t, "list 2", "request r1", "outcome r1 0 code 0 ended true", "timer 77")
	})
}

// Attempts beyond the limit are not made, keep their numbers, and are told as skipped.
func TestAttemptsBeyondTheLimitAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{attempt: func(context.Context, string, *Request) Result { return Result{Code: policy.ServerError} }}
		r, s := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok {
				return sendActions(e.ID, 4)
			}
			return nil
		})
		startDo(t.Context(), r, readRequest("r1"))
		synctest.Wait()
		if got := s.eventNames(); len(got) != 6 || got[2] != fmt.Sprintf("outcome r1 3 code %d ended false", policy.Superseded) {
			t.Errorf("told %q", got)
		}
		if n := len(f.attemptsMade()); n != 3 {
			t.Errorf("%d attempts were made, 3 are allowed", n)
		}
	})
}

// After the final answer nothing goes out, and what was out still gets its outcome.
func TestNothingGoesOutAfterTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{attempt: hangUntilCancelled}
		r, s := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return append(sendActions(e.ID, 1), policy.Action{Kind: policy.SetTimer, Token: 1, Wait: ms})
			case policy.Timer:
				return []policy.Action{
					{Kind: policy.Fail, ID: "r1"},
					{Kind: policy.Reject, ID: "r1"},
					{Kind: policy.Send, ID: "r1", Server: "s0"},
					{Kind: policy.Cancel, ID: "r1", Attempt: 0},
				}
			}
			return nil
		})
		a, err := r.Do(t.Context(), readRequest("r1"))
		if err != nil || a.Outcome != Failed {
			t.Errorf("answer %v, error %v, want the first", a.Outcome, err)
		}
		s.wantEvents(t, "list 2", "request r1", "timer 1", fmt.Sprintf("outcome r1 1 code %d ended true", policy.Superseded),
			fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
		if n := len(f.attemptsMade()); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

func TestBackstopAnswersForASilentModule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, noActions)
		began := time.Now()
		req := readRequest("r1")
		req.Timeout = 200 * ms
		a, err := r.Do(t.Context(), req)
		if took := time.Since(began); err != nil || a.Outcome != Expired || took >= 200*ms || took < 180*ms {
			t.Errorf("answer %v after %v, error %v", a.Outcome, took, err)
		}
		s.wantEvents(t, "list 2", "request r1", "lapsed r1")
	})
}

// An attempt ends within the client's time, whatever the module asked for.
func TestTimeOutIsClippedToTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var until time.Duration
		f := &fakeTransport{attempt: func(ctx context.Context, server string, r *Request) Result {
			end, _ := ctx.Deadline()
			until = time.Until(end)
			return hangUntilCancelled(ctx, server, r)
		}}
		r, _ := newTestRouter(t, f, func(now policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", Until: now + time.Hour}}
			case policy.Outcome:
				return []policy.Action{{Kind: policy.Fail, ID: e.ID}}
			}
			return nil
		})
		req := readRequest("r1")
		req.Timeout = 2 * time.Second
		if a, err := r.Do(t.Context(), req); err != nil || a.Outcome != Failed {
			t.Errorf("answer %v, error %v", a.Outcome, err)
		}
		if until <= 0 || until > 2*time.Second {
			t.Errorf("the attempt was given %v, though the client waits for 2 s", until)
		}
	})
}

// Clients that are refused without the module are told when to come again where the settings tell clients, and for no
// longer than they go by.
func TestSurplusIsToldWhatTheSettingsTell(t *testing.T) {
	for name, c := range map[string]struct {
		allowed policy.Capabilities
		want    time.Duration
	}{
		"nothing":           {policy.Capabilities{MaxRetryAfter: time.Minute}, 0},
		"for a while":       {policy.Capabilities{RetryAfter: true, MaxRetryAfter: 200 * time.Millisecond}, 200 * time.Millisecond},
		"for longer":        {policy.Capabilities{RetryAfter: true, MaxRetryAfter: time.Minute}, routerRetryAfter},
		"without any bound": {policy.Capabilities{RetryAfter: true}, routerRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conf := testConfig()
				conf.Settings.Capabilities, conf.MaxInFlight = c.allowed, 1
				r, _ := newTestRouterWithConfig(t, conf, &fakeTransport{attempt: hangUntilCancelled}, noActions)
				startDo(t.Context(), r, readRequest("r1"))
				synctest.Wait()
				if a, err := r.Do(t.Context(), readRequest("more")); err != nil || a.Outcome != Overloaded || a.RetryAfter != c.want {
					t.Errorf("%v, retry after %v, error %v; want %v", a.Outcome, a.RetryAfter, err, c.want)
				}
			})
		})
	}
}

func TestDuplicateAndSurplusRequestsAreAnsweredByTheRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, noActions)
		startDo(t.Context(), r, readRequest("r1"))
		synctest.Wait()
		if a, err := r.Do(t.Context(), readRequest("r1")); err != nil || a.Outcome != Conflict {
			t.Errorf("duplicate: %v, error %v", a.Outcome, err)
		}
		for i := 2; i <= 100; i++ {
			startDo(t.Context(), r, readRequest(fmt.Sprint("r", i)))
		}
		synctest.Wait()
		if a, err := r.Do(t.Context(), readRequest("more")); err != nil || a.Outcome != Overloaded || a.RetryAfter <= 0 {
			t.Errorf("surplus: %v, retry after %v, error %v", a.Outcome, a.RetryAfter, err)
		}
		if n := len(s.eventNames()); n != 1+100 {
			t.Errorf("the module was told of %d events, want the list and 100 requests", n)
		}
		time.Sleep(classDeadline)
		if a, err := r.Do(t.Context(), readRequest("r1")); err != nil || a.Outcome != Conflict {
			t.Errorf("duplicate of one that is over: %v, error %v", a.Outcome, err)
		}
	})
}

// What may have run has failed, and what has not is refused, each once.
func TestCloseAnswersWhatIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{attempt: hangUntilCancelled}
		r, s := newTestRouter(t, f, func(now policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok && e.ID == "held" {
				return nil
			}
			return sendOnce(now, ev)
		})
		sent, held := startDo(t.Context(), r, readRequest("sent")), startDo(t.Context(), r, readRequest("held"))
		synctest.Wait()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
		if e := <-sent; e.err != nil || e.Outcome != Failed {
			t.Errorf("the one that was sent: %v, error %v", e.Outcome, e.err)
		}
		if e := <-held; e.err != nil || e.Outcome != Rejected {
			t.Errorf("the one that was not: %v, error %v", e.Outcome, e.err)
		}
		if got := strings.Join(s.eventNames(), ","); !strings.Contains(got, "lapsed sent") || !strings.Contains(got, "lapsed held") {
			t.Errorf("told %s", got)
		}
		if _, err := r.Do(t.Context(), readRequest("late")); !errors.Is(err, ErrClosed) {
			t.Errorf("after Close: %v", err)
		}
		if err := r.Close(); err != nil || f.closed != 1 {
			t.Errorf("closed again: %v, the transport %d times", err, f.closed)
		}
	})
}

// A request that is over leaves nothing behind, however far off its deadline was.
func TestEndedRequestsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, func(_ policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok {
				return []policy.Action{{Kind: policy.Reject, ID: e.ID}}
			}
			return nil
		})
		for i := range 50 {
			if a, err := r.Do(t.Context(), readRequest(fmt.Sprint("r", i))); err != nil || a.Outcome != Rejected {
				t.Fatalf("answer %v, error %v", a.Outcome, err)
			}
		}
		if s := r.Stats(); s.Retained != 0 || s.Timers != 0 || len(s.OpenByClass) != 0 || s.Answers[Rejected] != 50 {
			t.Errorf("%+v", s)
		}
	})
}

// The module hears that a caller has left, and can call its attempts off.
func TestDepartureIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, sendOnce)
		ctx, leave := context.WithCancel(t.Context())
		done := startDo(ctx, r, readRequest("r1"))
		synctest.Wait()
		leave()
		if e := <-done; !errors.Is(e.err, context.Canceled) {
			t.Errorf("got %v, error %v", e.Outcome, e.err)
		}
		s.wantEvents(t, "list 2", "request r1", "lapsed r1", fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
		if s := r.Stats(); s.ClientsGone != 1 || s.Retained != 0 || s.AttemptsInFlight != 0 {
			t.Errorf("%+v", s)
		}
	})
}

func TestClockConvertsStarts(t *testing.T) {
	c := clock{start: time.UnixMilli(1_700_000_000_000)}
	for ms, want := range map[int64]policy.Time{
		1_700_000_000_000:        timeOrigin,
		1_700_000_000_000 - 2000: timeOrigin - 2*time.Second, // before the router, and still cold
		1_700_000_000_000 + 500:  timeOrigin + 500*time.Millisecond,
		1_600_000_000_000:        0,
		1:                        0,
		1<<53 - 1:                2 * timeOrigin,
	} {
		if got := c.serverStart(time.UnixMilli(ms)); got != want {
			t.Errorf("%d: got %v, want %v", ms, got, want)
		}
	}
	if got := c.serverStart(time.Time{}); got != 0 {
		t.Errorf("long ago: got %v", got)
	}
}

// Ids are remembered long enough for their copies, and not for ever.
func TestIDsAreForgotten(t *testing.T) {
	s := idHistory{seed: maphash.MakeSeed()}
	for i := range 20 {
		now := timeOrigin + policy.Time(i)*idRetention
		if !s.add(fmt.Sprint("r", i), now) || s.add(fmt.Sprint("r", i), now) {
			t.Fatal("a new id was taken for a known one, or a known one for new")
		}
		if i > 0 && s.add(fmt.Sprint("r", i-1), now) {
			t.Errorf("r%d is forgotten within %v", i-1, idRetention)
		}
	}
	if len(s.current)+len(s.previous) > 4 {
		t.Errorf("%d and %d ids are kept", len(s.current), len(s.previous))
	}
	for i := range 4 * maxIDsPerGeneration {
		s.add(fmt.Sprint("flood", i), timeOrigin+20*idRetention)
	}
	if len(s.current) > maxIDsPerGeneration || len(s.previous) > maxIDsPerGeneration {
		t.Errorf("%d and %d ids are kept of a flood", len(s.current), len(s.previous))
	}
}

// The news that a caller has left may be behind much else: what it asked for is not taken any more where it waited for
// the loop, gets no further attempt, and has nothing written that waits for its connection, also where the settings
// allow no call-offs.
func TestNothingGoesOutOnceTheCallerHasLeft(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, busy := &fakeTransport{attempt: serveAtOnce}, make(chan struct{})
			r, s := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
				if e, ok := ev.(policy.Request); ok && e.ID == "r1" {
					<-busy // the loop
				}
				return sendOnce(0, ev)
			})
			startDo(t.Context(), r, readRequest("r1"))
			synctest.Wait()
			ctx, leave := context.WithCancel(t.Context())
			startDo(ctx, r, readRequest("r2"))
			synctest.Wait()
			leave()
			synctest.Wait()
			close(busy)
			s.wantEvents(t, "list 2", "request r1", "outcome r1 0 code 0 ended true")
			if got := f.attemptsMade(); len(got) != 1 {
				t.Errorf("sent %q", got)
			}
			if s := r.Stats(); s.ClientsGone != 1 || s.Retained != 0 {
				t.Errorf("%+v", s)
			}
		})
	})
	t.Run("between attempts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			busy := make(chan struct{})
			f := &fakeTransport{attempt: func(context.Context, string, *Request) Result { return Result{Code: policy.Overloaded} }}
			r, s := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
				switch e := ev.(type) {
				case policy.Request:
					return sendActions(e.ID, 1)
				case policy.Outcome:
					if e.Attempt == 0 {
						<-busy
						return sendActions(e.ID, 1)
					}
				}
				return nil
			})
			ctx, leave := context.WithCancel(t.Context())
			startDo(ctx, r, readRequest("r1"))
			synctest.Wait()
			leave()
			synctest.Wait()
			close(busy)
			s.wantEvents(t, "list 2", "request r1", fmt.Sprintf("outcome r1 0 code %d ended false", policy.Overloaded), fmt.Sprintf("outcome r1 1 code %d ended true", policy.Superseded))
			if got := f.attemptsMade(); len(got) != 1 {
				t.Errorf("sent %q", got)
			}
			if s := r.Stats(); s.ClientsGone != 1 || s.Retained != 0 || s.AttemptsInFlight != 0 {
				t.Errorf("%+v", s)
			}
		})
	})
	for _, by := range []string{"its caller leaves", "its answer is there"} {
		t.Run("while it is dialled "+by, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				up := make(chan struct{})
				void := false
				f := &fakeTransport{attempt: func(ctx context.Context, server string, r *Request) Result {
					<-up
					void = ctx.(AbandonableContext).Abandoned()
					return Result{Code: policy.Superseded}
				}}
				r, _ := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
					if e, ok := ev.(policy.Request); ok && by == "its answer is there" {
						return append(sendActions(e.ID, 1), policy.Action{Kind: policy.Fail, ID: e.ID})
					}
					return sendOnce(0, ev)
				})
				ctx, leave := context.WithCancel(t.Context())
				startDo(ctx, r, readRequest("r1"))
				synctest.Wait()
				leave()
				synctest.Wait()
				close(up)
				synctest.Wait()
				if !void {
					t.Error("it may be written")
				}
				if s := r.Stats(); s.Retained != 0 || s.AttemptsInFlight != 0 {
					t.Errorf("%+v", s)
				}
			})
		})
	}
}

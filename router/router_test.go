package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A host that keeps the router from running for 300 ms: what has run out of time by then gets its one
// answer and goes nowhere, news of a drain goes ahead of the requests that piled up before it, and the
// lag is shown.
func TestHostThatBlocksTheRouter(t *testing.T) {
	for range 10 { // a choice among what is ready falls right by chance, but not each time
		synctest.Test(t, testBlockedHost)
	}
}

func testBlockedHost(t *testing.T) {
	var order []string
	f := &fakeTransport{attempt: serveAtOnce}
	source := &fakeSource{changes: make(chan EndpointUpdate)}
	var r *Router
	r, s := newTestRouter(t, f, func(_ policy.Time, ev policy.Event) []policy.Action {
		switch e := ev.(type) {
		case policy.Request:
			order = append(order, e.ID)
			if e.ID == "stall" {
				time.Sleep(300 * ms) // the loop stands still, as it does where no thread runs it
			}
			return sendActions(e.ID, 1)
		case policy.EndpointList:
			order = append(order, "list")
		}
		return nil
	}, WithEndpointSource(source))
	first := startDo(t.Context(), r, readRequest("stall"))
	synctest.Wait()
	var late, patient []chan doResult
	for i := range 20 {
		req := readRequest(fmt.Sprint("late", i))
		req.Timeout = 100 * ms
		late = append(late, startDo(t.Context(), r, req))
		patient = append(patient, startDo(t.Context(), r, readRequest(fmt.Sprint("patient", i))))
	}
	synctest.Wait()
	go func() { source.changes <- EndpointUpdate{Kind: policy.ListUpdate} }()
	for _, c := range late {
		if e := <-c; e.err != nil || e.Outcome != Rejected {
			t.Errorf("one whose time had passed: %v, error %v", e.Outcome, e.err)
		}
	}
	for _, c := range append(patient, first) {
		if e := <-c; e.err != nil || e.Outcome != Served {
			t.Errorf("one that had time left: %v, error %v", e.Outcome, e.err)
		}
	}
	for _, sent := range f.attemptsMade() {
		if strings.HasPrefix(sent, "late") {
			t.Errorf("%s went out after its time", sent)
		}
	}
	if len(order) < 3 || order[1] != "stall" || order[2] != "list" {
		t.Errorf("the news of the list did not go ahead: %v", order[:min(4, len(order))])
	}
	st := r.Stats()
	if st.Lag.Max < 299*ms || st.Lag.Mean <= 0 {
		t.Errorf("lag %+v, want 300 ms", st.Lag)
	}
	for _, ev := range s.eventNames() {
		if strings.Contains(ev, "late") {
			t.Errorf("the module was told: %s", ev)
		}
	}
}

// fakeSource is a membership that tells what a test hands it.
type fakeSource struct{ changes chan EndpointUpdate }

func (s *fakeSource) Run(ctx context.Context, tell func(EndpointUpdate)) {
	for {
		select {
		case c := <-s.changes:
			tell(c)
		case <-ctx.Done():
			return
		}
	}
}

func (s *fakeSource) SetPolling(bool) {}

// ruleChecker is a transport that keeps the rules' books: which attempts may have run, and what came of
// them. Ends are drawn from a seed.
type ruleChecker struct {
	mu               sync.Mutex
	rng              *rand.Rand
	possiblyExecuted map[string]int // attempts of a request that may have run
	violations       []string
	drains           map[string]bool
}

func (l *ruleChecker) attempt(ctx context.Context, server string, r *Request) Result {
	l.mu.Lock()
	n := l.rng.Float64()
	took := time.Duration(l.rng.IntN(20)) * ms
	if r.Class == "pay" && l.possiblyExecuted[r.ID] > 0 {
		l.violations = append(l.violations, r.ID+" was sent again though it may have run")
	}
	code := policy.OK
	switch {
	case n < 0.05:
		code = policy.Overloaded
	case n < 0.08:
		code = policy.ConnectFailed
	case n < 0.10:
		code = policy.Reset
	case n < 0.12:
		code = policy.ServerError
	}
	if !code.NotExecuted() {
		l.possiblyExecuted[r.ID]++
	}
	l.mu.Unlock()
	select {
	case <-time.After(took):
		return Result{Code: code}
	case <-ctx.Done():
		return Result{Code: policy.Cancelled}
	}
}

// Twenty reloads a second for ten seconds, under load, with classes, tenants, limits and servers
// changing: each request gets one answer, no booking runs twice, and the newest configuration holds at
// the end with nothing left behind.
func TestReloadsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		books := &ruleChecker{rng: rand.New(rand.NewPCG(1, 2)), possiblyExecuted: make(map[string]int)}
		c := testConfig()
		c.Endpoints = testEndpoints(6)
		r, _ := newTestRouterWithConfig(t, c, &fakeTransport{attempt: books.attempt}, nil)
		var clients sync.WaitGroup
		var answers [8]atomic.Int64
		stop := make(chan struct{})
		for i := range 16 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * ms):
					}
					class := []string{"read", "pay", "undo"}[n%3]
					a, err := r.Do(t.Context(), Request{
						ID: fmt.Sprint(i, "-", n), Class: class, Tenant: "t",
						IdempotencyKey: "k", Target: "/",
					})
					if err != nil {
						t.Errorf("%s: %v", class, err)
						return
					}
					answers[a.Outcome].Add(1)
				}
			})
		}
		var newest Config
		for i := range 200 {
			newest = testConfig()
			newest.Endpoints = testEndpoints(3 + i%4)
			newest.MaxInFlight = 50 + i
			newest.Settings.Classes[i%3].Deadline += time.Duration(i+1) * ms
			newest.Settings.Capabilities.MaxAttempts = 1 + i%4
			newest.Settings.Tenants = []policy.Tenant{{Name: "t", Quota: float64(50_000 + i)}}
			if err := r.Reload(newest); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * ms)
		}
		close(stop)
		clients.Wait()
		for _, b := range books.violations {
			t.Error(b)
		}
		if served := answers[Served].Load(); served < 5_000 {
			t.Errorf("%d served", served)
		}
		if class, _ := r.Class("pay"); class.Deadline != newest.Settings.Classes[1].Deadline {
			t.Errorf("pay has the deadline %v, want the newest's %v", class.Deadline, newest.Settings.Classes[1].Deadline)
		}
		time.Sleep(time.Minute) // all timers that are the module's own have come due
		s := r.Stats()
		if s.Reloads != 200 || s.Retained != 0 || s.AttemptsInFlight != 0 || len(s.OpenByClass) != 0 || s.EndpointsByAvailability[policy.Running] != len(newest.Endpoints) {
			t.Errorf("left behind: %+v", s)
		}
		if s.Timers > 8 {
			t.Errorf("%d timers are left", s.Timers)
		}
	})
}

// A bad configuration changes nothing, and the error names the field.
func TestBadReloadsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		for want, spoil := range map[string]func(*Config){
			"MaxInFlight":        func(c *Config) { c.MaxInFlight = -1 },
			"Endpoints[1].ID":    func(c *Config) { c.Endpoints = append(c.Endpoints, c.Endpoints[0]) },
			"Endpoints[0].Addr":  func(c *Config) { c.Endpoints = []Endpoint{{ID: "x"}} },
			`class "pay"`:        func(c *Config) { c.Settings.Classes[1].Deadline = 0 },
			"classes: there are": func(c *Config) { c.Settings.Classes = nil },
			"node 7":             func(c *Config) { c.Settings.Node = 7 },
		} {
			c := testConfig()
			spoil(&c)
			if err := r.Reload(c); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line that names %s", err, want)
			}
		}
		if a, err := r.Do(t.Context(), Request{ID: "r", Class: "pay", Tenant: "t"}); err != nil || a.Outcome != Served {
			t.Errorf("after bad reloads: %v, %v", a.Outcome, err)
		}
		if s := r.Stats(); s.Reloads != 0 || s.EndpointsByAvailability[policy.Running] != 1 {
			t.Errorf("%+v", s)
		}
	})
}

// An id that was used before a reload stays used after it.
func TestIDsStayUsedOverReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		pay := Request{ID: "r", Class: "pay", Tenant: "t"}
		if a, err := r.Do(t.Context(), pay); err != nil || a.Outcome != Served {
			t.Fatal(a.Outcome, err)
		}
		c := testConfig()
		c.Settings.Classes[1].Deadline += ms
		if err := r.Reload(c); err != nil {
			t.Fatal(err)
		}
		if a, err := r.Do(t.Context(), pay); err != nil || a.Outcome != Conflict {
			t.Errorf("the same id after a reload: %v, %v", a.Outcome, err)
		}
	})
}

// A class that a reload took away is unknown to those who come, and its requests end as they would.
func TestReloadTakesAClassAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := &fakeTransport{attempt: func(context.Context, string, *Request) Result {
			<-release
			return Result{Code: policy.OK}
		}}
		r, _ := newTestRouter(t, f, nil)
		open := startDo(t.Context(), r, Request{ID: "open", Class: "pay", Tenant: "t"})
		synctest.Wait()
		c := testConfig()
		c.Settings.Classes = c.Settings.Classes[:1]
		if err := r.Reload(c); err != nil {
			t.Fatal(err)
		}
		invalid := (*InvalidError)(nil)
		if _, err := r.Do(t.Context(), Request{ID: "new", Class: "pay", Tenant: "t"}); !errors.As(err, &invalid) || invalid.Field != "Class" {
			t.Errorf("a class that is gone: %v", err)
		}
		close(release)
		if e := <-open; e.err != nil || e.Outcome != Served {
			t.Errorf("the one that was open: %v, %v", e.Outcome, e.err)
		}
		if n := f.configured.Load(); n != 2 {
			t.Errorf("the transport was told of the settings %d times, want at the start and at the reload", n)
		}
	})
}

func TestMalformedRequestsAreNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{attempt: serveAtOnce}
		r, _ := newTestRouter(t, f, nil)
		for field, req := range map[string]Request{
			"ID":             {Class: "read"},
			"Class":          {ID: "a", Class: "other"},
			"Tenant":         {ID: "a", Class: "read", Tenant: strings.Repeat("x", MaxNameLength+1)},
			"Timeout":        {ID: "a", Class: "read", Timeout: -1},
			"IdempotencyKey": {ID: "a", Class: "undo"},
		} {
			invalid := (*InvalidError)(nil)
			if _, err := r.Do(t.Context(), req); !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("%s: got %v", field, err)
			}
		}
		if n := len(f.attemptsMade()); n != 0 {
			t.Errorf("%d attempts", n)
		}
	})
}

// A context that has ended takes nothing in; one with a deadline binds the request, and one without
// leaves it to its class.
func TestContextsOfDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTransport{attempt: hangUntilCancelled}
		r, _ := newTestRouter(t, f, sendOnce)
		over, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := r.Do(over, readRequest("over")); !errors.Is(err, context.Canceled) || len(f.attemptsMade()) != 0 {
			t.Errorf("ended: %v after %d attempts", err, len(f.attemptsMade()))
		}
		short, cancel := context.WithTimeout(t.Context(), 300*ms)
		defer cancel()
		began := time.Now()
		if a, err := r.Do(short, readRequest("short")); err != nil || a.Outcome != Failed || time.Since(began) >= 300*ms {
			t.Errorf("with a deadline: %v, %v after %v", a.Outcome, err, time.Since(began))
		}
		began = time.Now()
		if a, err := r.Do(t.Context(), readRequest("long")); err != nil || a.Outcome != Failed || time.Since(began) >= classDeadline {
			t.Errorf("without: %v, %v after %v", a.Outcome, err, time.Since(began))
		}
	})
}

// Ten thousand at once against a bound of a hundred: the surplus is refused at once, and no goroutine
// of the router's stays.
func TestManyAtOnceAgainstTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := &fakeTransport{attempt: func(context.Context, string, *Request) Result {
			<-release
			return Result{Code: policy.OK}
		}}
		c := testConfig()
		r, _ := newTestRouterWithConfig(t, c, f, func(_ policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok {
				return sendActions(e.ID, 1)
			}
			return nil
		})
		var outcomes [8]atomic.Int64
		var all sync.WaitGroup
		for i := range 10_000 {
			all.Go(func() {
				a, err := r.Do(t.Context(), readRequest(fmt.Sprint("r", i)))
				if err != nil {
					t.Error(err)
				}
				outcomes[a.Outcome].Add(1)
			})
		}
		synctest.Wait()
		if s := r.Stats(); s.OpenByClass["read"] != 100 || s.AttemptsInFlight != 100 {
			t.Errorf("%d open, %d attempts out, want 100", s.OpenByClass["read"], s.AttemptsInFlight)
		}
		close(release)
		all.Wait()
		if served, over := outcomes[Served].Load(), outcomes[Overloaded].Load(); served != 100 || over != 9_900 {
			t.Errorf("%d served, %d refused", served, over)
		}
	})
}

// A drain serves on, has its fronts end their intake, and is through when the last request is.
func TestDrainInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		f := &fakeTransport{attempt: func(context.Context, string, *Request) Result {
			<-release
			return Result{Code: policy.OK}
		}}
		shut := &fakeListener{until: make(chan struct{})}
		r, _ := newTestRouter(t, f, nil, WithListener(shut), WithDrainDelay(time.Second))
		open := startDo(t.Context(), r, readRequest("open"))
		synctest.Wait()
		drained := make(chan error, 2)
		for range 2 { // who asks again waits for the same
			go func() { drained <- r.Drain(t.Context()) }()
		}
		time.Sleep(500 * ms)
		if p := r.Phase(); p != Draining || shut.called.Load() != 0 {
			t.Errorf("phase %v, the front was told %d times", p, shut.called.Load())
		}
		late := startDo(t.Context(), r, readRequest("late"))
		time.Sleep(time.Second)
		if p := r.Phase(); p != Closing || shut.called.Load() != 1 {
			t.Errorf("phase %v, the front was told %d times", p, shut.called.Load())
		}
		close(shut.until)
		synctest.Wait()
		if p := r.Phase(); p != Closing {
			t.Errorf("phase %v with requests open", p)
		}
		close(release)
		for range 2 {
			if err := <-drained; err != nil {
				t.Error(err)
			}
		}
		for _, c := range []chan doResult{open, late} {
			if e := <-c; e.err != nil || e.Outcome != Served {
				t.Errorf("%v, %v", e.Outcome, e.err)
			}
		}
		if _, err := r.Do(t.Context(), readRequest("after")); !errors.Is(err, ErrDrained) {
			t.Errorf("after the drain: %v", err)
		}
	})
}

// Where the drain's time is up first, what is open is answered once: failed where it may have run.
func TestDrainDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, func(now policy.Time, ev policy.Event) []policy.Action {
			if e, ok := ev.(policy.Request); ok && e.ID == "held" {
				return nil
			}
			return sendOnce(now, ev)
		}, WithDrainDelay(0))
		sent, held := startDo(t.Context(), r, readRequest("sent")), startDo(t.Context(), r, readRequest("held"))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := r.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain: %v", err)
		}
		if e := <-sent; e.Outcome != Failed {
			t.Errorf("sent: %v, %v", e.Outcome, e.err)
		}
		if e := <-held; e.Outcome != Rejected {
			t.Errorf("held: %v, %v", e.Outcome, e.err)
		}
		synctest.Wait()
		if s := r.Stats(); s.AttemptsInFlight != 0 || s.Retained != 0 || s.Phase != Drained {
			t.Errorf("%+v", s)
		}
	})
}

type fakeListener struct {
	called atomic.Int32
	until  chan struct{}
}

func (f *fakeListener) Shutdown(ctx context.Context) error {
	f.called.Add(1)
	select {
	case <-f.until:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Two routers in one process share nothing: the end of one is not felt by the other, and neither are
// its ids.
func TestTwoRoutersDoNotDisturbEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		b, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		for _, r := range []*Router{a, b} {
			if ans, err := r.Do(t.Context(), readRequest("same")); err != nil || ans.Outcome != Served {
				t.Errorf("%v, %v", ans.Outcome, err)
			}
		}
		a.Close()
		if ans, err := b.Do(t.Context(), readRequest("next")); err != nil || ans.Outcome != Served {
			t.Errorf("after the other's end: %v, %v", ans.Outcome, err)
		}
		if s := b.Stats(); s.Answers[Served] != 2 {
			t.Errorf("%d answers counted", s.Answers[Served])
		}
	})
}

// Close while requests come, leave and end: each call returns once, with an answer or an error.
func TestCloseUnderLoad(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			books := &ruleChecker{rng: rand.New(rand.NewPCG(3, 4)), possiblyExecuted: make(map[string]int)}
			c := testConfig()
			c.Endpoints = testEndpoints(4)
			r, _ := newTestRouterWithConfig(t, c, &fakeTransport{attempt: books.attempt}, nil)
			var all sync.WaitGroup
			for i := range 200 {
				all.Go(func() {
					time.Sleep(time.Duration(i%20) * ms)
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%30)*ms)
					defer cancel()
					_, err := r.Do(ctx, readRequest(fmt.Sprint("r", i)))
					if err != nil && !errors.Is(err, ErrClosed) && !errors.Is(err, context.DeadlineExceeded) {
						t.Error(err)
					}
				})
			}
			time.Sleep(10 * ms)
			if err := r.Close(); err != nil {
				t.Error(err)
			}
			all.Wait()
			if s := r.Stats(); s.Phase != Closed || len(s.OpenByClass) != 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}

func TestNewNeedsATransport(t *testing.T) {
	if _, err := New(testConfig()); err == nil || !strings.Contains(err.Error(), "transport") {
		t.Errorf("got %v", err)
	}
	bad := testConfig()
	bad.Settings.Classes[0].LatencyObjective = -1
	if _, err := New(bad, WithTransport(&fakeTransport{attempt: serveAtOnce})); err == nil || !strings.Contains(err.Error(), `class "read": aim`) {
		t.Errorf("got %v", err)
	}
}

// A large change comes in parts, so that requests are not held up by it, and the servers that are open
// to new work come before those that go.
func TestLargeChangesComeInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := &fakeTransport{attempt: serveAtOnce}, &fakeSource{changes: make(chan EndpointUpdate)}
		r, _ := newTestRouter(t, f, noActions, WithEndpointSource(source))
		var members []Endpoint
		for i := range 100 {
			m := Endpoint{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("10.0.0.1:", i+1), Availability: policy.Availability(i % 3)}
			members = append(members, m)
		}
		source.changes <- EndpointUpdate{Kind: policy.ListUpdate, Endpoints: members}
		synctest.Wait()
		last, n := policy.Running, 0
		for _, c := range f.updates[1:] {
			if len(c.Endpoints) > updateBatchSize {
				t.Errorf("%d entries at once", len(c.Endpoints))
			}
			for _, m := range c.Endpoints {
				if n++; m.Availability < last {
					t.Errorf("%s comes after one that goes", m.ID)
				}
				last = m.Availability
			}
		}
		if n != len(members) {
			t.Errorf("%d entries", n)
		}
		if s := r.Stats(); s.EndpointsByAvailability[policy.Running] != 34+1 || s.EndpointsByAvailability[policy.Draining] != 33 {
			t.Errorf("%v", s.EndpointsByAvailability)
		}
	})
}

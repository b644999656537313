package router

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

const (
	ms            = time.Millisecond
	classDeadline = 9 * time.Second // deadline of every class; takes no real time in a synctest bubble
)

// respondFunc returns the actions of a scriptedBalancer for an event.
type respondFunc func(now policy.Time, ev policy.Event) []policy.Action

// scriptedBalancer responds to events with a function that the test provides, and records the events.
type scriptedBalancer struct {
	mu       sync.Mutex
	received []policy.Event
	respond  respondFunc
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

// eventNames returns descriptions of the received events.
func (s *scriptedBalancer) eventNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, ev := range s.received {
		switch ev := ev.(type) {
		case policy.EndpointList:
			names = append(names, fmt.Sprintf("list %d", ev.Kind))
		case policy.Request:
			names = append(names, "request "+ev.ID)
		case policy.Outcome:
			names = append(names, outcomeName(ev.ID, ev.Attempt, ev.Code, ev.Answered))
		case policy.ClientGone:
			names = append(names, "client gone "+ev.ID)
		case policy.Timer:
			names = append(names, fmt.Sprintf("timer %d", ev.Token))
		}
	}
	return names
}

// outcomeName returns the description of a policy.Outcome in eventNames.
func outcomeName(id string, attempt int, code policy.Code, answered bool) string {
	return fmt.Sprintf("outcome %s %d code %d answered %v", id, attempt, code, answered)
}

// wantEvents waits until the bubble is idle, and checks the received events.
func (s *scriptedBalancer) wantEvents(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	if got := s.eventNames(); !reflect.DeepEqual(got, want) {
		t.Errorf("the balancer received\n%q, want\n%q", got, want)
	}
}

// attemptFunc makes the attempts of a fakeTransport.
type attemptFunc func(ctx context.Context, server string, r *Request) Result

// fakeTransport makes attempts with a function that the test provides. It records the attempts, updates and calls of
// Close.
type fakeTransport struct {
	attempt attemptFunc

	mu      sync.Mutex
	sent    []string // attempts, in the form "id server"
	updates []EndpointUpdate
	closed  int

	configured atomic.Int32
}

var _ Transport = (*fakeTransport)(nil)

func (f *fakeTransport) Attempt(ctx context.Context, server string, r *Request) Result {
	f.mu.Lock()
	f.sent = append(f.sent, r.ID+" "+server)
	f.mu.Unlock()
	return f.attempt(ctx, server, r)
}

func (f *fakeTransport) Update(update EndpointUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates = append(f.updates, update)
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

// wantAttempts checks the number of attempts that have reached the transport.
func (f *fakeTransport) wantAttempts(t *testing.T, want int) {
	t.Helper()
	if got := f.attemptsMade(); len(got) != want {
		t.Errorf("attempts %q, want %d of them", got, want)
	}
}

// serveAtOnce is an attemptFunc that succeeds at once.
func serveAtOnce(context.Context, string, *Request) Result {
	return Result{Code: policy.OK, Answer: Answer{Body: []byte("yes")}}
}

// hangUntilCancelled is an attemptFunc that returns when its context ends.
func hangUntilCancelled(ctx context.Context, _ string, _ *Request) Result {
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return Result{Code: policy.Cancelled}
	}
	return Result{Code: policy.TimedOut}
}

// endWith returns an attemptFunc that returns code at once.
func endWith(code policy.Code) attemptFunc {
	return func(context.Context, string, *Request) Result { return Result{Code: code} }
}

// serveAfter returns an attemptFunc that succeeds once release is closed.
func serveAfter(release <-chan struct{}) attemptFunc {
	return func(context.Context, string, *Request) Result {
		<-release
		return Result{Code: policy.OK}
	}
}

// fakeSource is an EndpointSource that publishes the updates that a test sends.
type fakeSource struct{ updates chan EndpointUpdate }

var _ EndpointSource = (*fakeSource)(nil)

func (s *fakeSource) Run(ctx context.Context, publish func(EndpointUpdate)) {
	for {
		select {
		case update := <-s.updates:
			publish(update)
		case <-ctx.Done():
			return
		}
	}
}

func (s *fakeSource) SetPolling(bool) {}

// fakeListener is a Listener whose Shutdown returns once release is closed.
type fakeListener struct {
	shutdowns atomic.Int32
	release   chan struct{}
}

var _ Listener = (*fakeListener)(nil)

func (f *fakeListener) Shutdown(ctx context.Context) error {
	f.shutdowns.Add(1)
	select {
	case <-f.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testConfig returns a configuration with the classes "read", "pay" and "undo", one of each kind of idempotency.
func testConfig() Config {
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{
			Name:             name,
			LatencyObjective: 4 * time.Second,
			Deadline:         classDeadline,
			Idempotency:      idempotency,
		}
	}
	undo := class("undo", policy.IdempotencyKeyed)
	undo.DedupScope, undo.DedupWindow = policy.DedupAll, 4*time.Second
	return Config{MaxInFlight: 100, Endpoints: testEndpoints(1), Settings: policy.Settings{
		Nodes:        1,
		Zone:         "a",
		Classes:      []policy.Class{class("read", policy.Idempotent), class("pay", policy.NonIdempotent), undo},
		Tenants:      []policy.Tenant{{Name: "t", Quota: 100_000}},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules: policy.Rules{
			DrainGrace:       500 * ms,
			SlowStartWindow:  time.Second,
			SlowStartShare:   0.5,
			OverloadFactor:   3,
			OverloadDuration: time.Second,
		},
	}}
}

// testEndpoints returns n running servers, named "s0", "s1" and so on.
func testEndpoints(n int) []Endpoint {
	endpoints := make([]Endpoint, 0, n)
	for i := range n {
		endpoints = append(endpoints, Endpoint{
			ID:     fmt.Sprint("s", i),
			Addr:   fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone:   "a",
			Weight: 1,
		})
	}
	return endpoints
}

// newTestRouter starts a router with testConfig and a transport, and with a scripted balancer if respond is not nil.
// It must be called inside a synctest bubble. The router is closed at the end of the test.
func newTestRouter(
	t *testing.T, transport Transport, respond respondFunc, opts ...Option,
) (*Router, *scriptedBalancer) {
	t.Helper()
	return newTestRouterWithConfig(t, testConfig(), transport, respond, opts...)
}

// newTestRouterWithConfig is like newTestRouter, but uses config instead of testConfig.
func newTestRouterWithConfig(
	t *testing.T, config Config, transport Transport, respond respondFunc, opts ...Option,
) (*Router, *scriptedBalancer) {
	t.Helper()
	resolved := newOptions(transport, opts)
	if err := config.validate(); err != nil {
		t.Fatal(err)
	}
	eventLoop, err := newLoop(config, resolved, clock{start: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	balancer := &scriptedBalancer{respond: respond}
	if respond != nil {
		eventLoop.balancer = balancer
	}
	r := start(eventLoop, config, resolved)
	t.Cleanup(func() { closeRouter(t, r) })
	synctest.Wait()
	return r, balancer
}

func closeRouter(t *testing.T, r *Router) {
	t.Helper()
	if err := r.Close(); err != nil {
		t.Errorf("Close: %v", err)
	}
}

func readRequest(id string) Request {
	return Request{ID: id, Class: "read", Tenant: "t", Target: "/api"}
}

// doResult contains the return values of Do, for sending over a channel.
type doResult struct {
	answer Answer
	err    error
}

// startDo calls Do in a goroutine, and returns a channel that receives its return values.
func startDo(ctx context.Context, r *Router, req Request) <-chan doResult {
	done := make(chan doResult, 1)
	go func() {
		answer, err := r.Do(ctx, req)
		done <- doResult{answer, err}
	}()
	return done
}

// wantResult waits for a result of startDo, and checks that its outcome is want.
func wantResult(t *testing.T, name string, done <-chan doResult, want Outcome) {
	t.Helper()
	result := <-done
	wantOutcome(t, name, result.answer, result.err, want)
}

// wantDo calls Do, and checks that the outcome is want.
func wantDo(t *testing.T, r *Router, req Request, want Outcome) Answer {
	t.Helper()
	answer, err := r.Do(t.Context(), req)
	wantOutcome(t, "request "+req.ID, answer, err, want)
	return answer
}

func wantOutcome(t *testing.T, name string, answer Answer, err error, want Outcome) {
	t.Helper()
	if err != nil || answer.Outcome != want {
		t.Errorf("%s: outcome %v, error %v; want %v", name, answer.Outcome, err, want)
	}
}

// wantNothingLeft checks that no request or attempt is left.
func wantNothingLeft(t *testing.T, stats Stats) {
	t.Helper()
	if stats.Retained != 0 || stats.AttemptsInFlight != 0 || len(stats.OpenByClass) != 0 || stats.IDs.Open != 0 {
		t.Errorf("requests, attempts or IDs in use are left: %+v", stats)
	}
}

// sendActions returns actions that send the request id to "s0" n times.
func sendActions(id string, n int) []policy.Action {
	actions := make([]policy.Action, 0, n)
	for range n {
		actions = append(actions, policy.Action{Kind: policy.Send, ID: id, Server: "s0"})
	}
	return actions
}

// sendTimes returns a respondFunc that sends each request n times, and does nothing else.
func sendTimes(n int) respondFunc {
	return func(_ policy.Time, ev policy.Event) []policy.Action {
		if request, ok := ev.(policy.Request); ok {
			return sendActions(request.ID, n)
		}
		return nil
	}
}

// sendOnce is a respondFunc that sends each request once, and fails requests that are not served.
func sendOnce(_ policy.Time, ev policy.Event) []policy.Action {
	switch ev := ev.(type) {
	case policy.Request:
		return sendActions(ev.ID, 1)
	case policy.Outcome:
		return []policy.Action{{Kind: policy.Fail, ID: ev.ID}}
	case policy.ClientGone:
		return []policy.Action{{Kind: policy.Cancel, ID: ev.ID}}
	}
	return nil
}

// sendOnceExcept returns a respondFunc like sendOnce that never sends the request whose ID is queued.
func sendOnceExcept(queued string) respondFunc {
	return func(now policy.Time, ev policy.Event) []policy.Action {
		if request, ok := ev.(policy.Request); ok && request.ID == queued {
			return nil
		}
		return sendOnce(now, ev)
	}
}

// noActions is a respondFunc that returns no actions.
func noActions(policy.Time, policy.Event) []policy.Action { return nil }

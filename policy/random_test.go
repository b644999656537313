package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// workload passes random valid events to one balancer and checks its invariants: one final answer at most 5 ms after
// the deadline, no forbidden retry or rejection, no send to a server after its drain grace, placement, and the retry
// budget. It keeps its own state and shares no code with the balancer.
type workload struct {
	t               *testing.T
	rng             *rand.Rand
	settings        Settings
	balancer        *Balancer
	now             Time
	endpoints       map[string]Endpoint
	drainingSince   map[string]Time // time at which a server was first listed as draining
	trackedRequests map[string]*trackedRequest
	lastID          int
	tasks           []task // scheduled outcomes, timers and probe results
	log             []string

	faultDivisor  int // about 5 of every faultDivisor attempts fail, in addition to time-outs
	maxLatency    int // maximum latency of an attempt, in ms
	arrivalPeriod int // mean number of steps between requests

	accepted []Time // times of the received requests
	retries  []Time // times of the sends after the first send of a request
}

// trackedRequest is a request as its client sees it, with the attempts that the balancer sent.
type trackedRequest struct {
	Request
	class    Class
	deadline Time
	attempts []sentAttempt
	ended    bool
}

type sentAttempt struct {
	server      Endpoint
	sentAt      Time
	done        bool
	notExecuted bool
}

type task struct {
	at  Time
	run func()
}

func newWorkload(t *testing.T, seed uint64) *workload {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := randomSettings(rng, seed)
	b, err := New(settings, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &workload{
		t: t, rng: rng, settings: settings, balancer: b,
		endpoints: map[string]Endpoint{}, drainingSince: map[string]Time{}, trackedRequests: map[string]*trackedRequest{},
		faultDivisor:  []int{8, 20, 60}[seed/3%3],
		maxLatency:    []int{300, 50}[seed/2%2],
		arrivalPeriod: []int{1, 8}[seed/4%2],
	}
	for _, endpoint := range testEndpoints(1 + rng.IntN(9)) {
		if rng.IntN(4) == 0 {
			endpoint.OnlineSince = 1
		}
		if rng.IntN(5) == 0 {
			endpoint.Cell = Cell{}
		}
		if rng.IntN(5) == 0 {
			endpoint.Zone = ""
		}
		w.endpoints[endpoint.Server] = endpoint
	}
	w.handle(EndpointList{Kind: ListRestored, Endpoints: w.listedEndpoints()})
	return w
}

// randomSettings returns settings that vary with the seed.
func randomSettings(rng *rand.Rand, seed uint64) Settings {
	settings := testSettings([]int{1, 3, 12, 60}[seed%4])
	settings.Node = rng.IntN(settings.Nodes)
	settings.Subscribe, settings.KeyAffinity = seed%5 == 0, seed%3 == 0
	settings.Capabilities.Probe, settings.LoadReportFields = seed%2 == 0, []string{"inflight"}
	settings.Capabilities.Cancel, settings.Capabilities.Hedge = seed%7 != 0, seed%6 != 0
	if seed%8 == 0 {
		settings.Tenants = nil
	}
	if seed%2 == 1 {
		settings.Rules.RetryBudget = &RetryBudget{MinRetries: float64(rng.IntN(3)), RetryRatio: 0.05, Window: 5 * time.Second}
	}
	for i := range settings.Classes { // DedupWindow is shorter than the time in which retries are possible
		settings.Classes[i].DedupWindow = time.Duration(20+rng.IntN(150)) * ms
	}
	switch seed % 3 {
	case 1:
		settings.Classes[seed%5].Kinds = []string{"k1", "k2"}
	case 2:
		settings.Classes[seed%5].Zones = []string{"b"}
		settings.Classes[(seed+1)%5].Kinds = []string{"k0"}
	}
	return settings
}

func (w *workload) listedEndpoints() []Endpoint {
	var out []Endpoint
	for i := range 10 {
		if endpoint, ok := w.endpoints[fmt.Sprintf("s%02d", i)]; ok {
			out = append(out, endpoint)
		}
	}
	return out
}

func (w *workload) schedule(wait time.Duration, run func()) {
	w.tasks = append(w.tasks, task{w.now + wait, run})
}

func (w *workload) handle(event Event) {
	for _, a := range slices.Clone(w.balancer.Handle(w.now, event)) {
		w.log = append(w.log, fmt.Sprintf("%v %+v", w.now, a))
		w.carryOut(a)
	}
}

func (w *workload) carryOut(action Action) {
	tracked := w.trackedRequests[action.ID]
	switch action.Kind {
	case Send:
		w.checkSend(tracked, action)
		w.send(tracked, action)
	case Reject, Fail:
		w.checkAnswer(tracked, action)
	case Cancel:
		if !w.settings.Capabilities.Cancel || action.Attempt >= len(tracked.attempts) {
			w.t.Errorf("Cancel of an unknown attempt, or without the capability: %+v", action)
		}
	case SetTimer:
		w.schedule(max(action.Wait, ms), func() { w.handle(Timer{Token: action.Token}) })
	case Probe:
		w.probe(action.Server)
	case WatchEndpoints:
		if w.rng.IntN(2) == 0 {
			w.schedule(ms, func() { w.handle(EndpointList{Kind: ListUnavailable}) })
		}
	}
}

func (w *workload) probe(server string) {
	load := float64(w.rng.IntN(6))
	if !w.settings.Capabilities.Probe {
		w.t.Errorf("Probe without the capability")
	}
	if w.rng.IntN(3) > 0 {
		w.schedule(ms*time.Duration(w.rng.IntN(30)), func() {
			w.handle(ProbeResult{Server: server, Code: OK, LoadReport: []float64{load}})
		})
	}
}

// checkSend checks that the attempt is allowed now and at its server.
func (w *workload) checkSend(tracked *trackedRequest, action Action) {
	endpoint, listed := w.endpoints[action.Server]
	if since, ok := w.drainingSince[action.Server]; ok && w.now > since+w.settings.Rules.DrainGrace {
		w.t.Errorf("%s has been draining since %v, but was sent an attempt at %v", action.Server, since, w.now)
	}
	if !listed && w.drainingSince[action.Server] == 0 {
		w.t.Errorf("attempt sent to unknown server %q", action.Server)
	}
	if tracked == nil || tracked.ended || w.now >= tracked.deadline {
		w.t.Fatalf("attempt sent after the end of its request: %+v", action)
	}
	w.checkRetry(tracked, endpoint, action)
	if class := tracked.class; len(class.Kinds) > 0 && !slices.Contains(class.Kinds, endpoint.Kind) ||
		len(class.Zones) > 0 && !slices.Contains(class.Zones, endpoint.Zone) {
		w.t.Errorf("request of class %s sent to %s, of kind %s in zone %s, against its placement",
			class.Name, action.Server, endpoint.Kind, endpoint.Zone)
	}
	if len(tracked.attempts) > 0 {
		w.checkRetryBudget()
	}
}

// checkRetry checks an attempt against the earlier attempts of the request. No request may be executed twice unless
// its class allows this. Hedged requests and the number of attempts must conform to the capabilities.
func (w *workload) checkRetry(tracked *trackedRequest, endpoint Endpoint, action Action) {
	pending := 0
	for _, former := range tracked.attempts {
		if !former.done {
			pending++
		}
		if former.notExecuted {
			continue
		}
		switch tracked.class.Idempotency {
		case NonIdempotent:
			w.t.Errorf("request of class %s sent again though it may have been executed", tracked.class.Name)
		case IdempotencyKeyed:
			scope := tracked.class.DedupScope
			if w.now > former.sentAt+tracked.class.DedupWindow ||
				scope == DedupZone && (endpoint.Zone == "" || endpoint.Zone != former.server.Zone) ||
				scope == DedupCell && (!endpoint.Cell.Known() || endpoint.Cell != former.server.Cell) {
				w.t.Errorf("request of class %s sent again outside its deduplication scope or window",
					tracked.class.Name)
			}
		}
	}
	allowed := w.settings.Capabilities
	if pending > 0 && !allowed.Hedge || len(tracked.attempts) >= allowed.MaxAttempts {
		w.t.Errorf("hedged request without the capability, or more than MaxAttempts attempts: %+v", action)
	}
}

// send draws the outcome of an attempt and schedules it. One outcome in 20 is delivered twice.
func (w *workload) send(tracked *trackedRequest, action Action) {
	n := len(tracked.attempts)
	tracked.attempts = append(tracked.attempts, sentAttempt{server: w.endpoints[action.Server], sentAt: w.now})
	until := tracked.deadline
	if action.Until > 0 {
		until = min(until, action.Until)
	}
	code, latency := OK, time.Duration(w.rng.IntN(w.maxLatency))*ms
	if w.rng.IntN(w.faultDivisor) < 5 {
		code = []Code{ServerError, Overloaded, ConnectFailed, Reset, TimedOut}[w.rng.IntN(5)]
	}
	if code == TimedOut || w.now+latency > until {
		code, latency = TimedOut, until-w.now
	}
	w.schedule(latency, func() {
		tracked.attempts[n].done, tracked.attempts[n].notExecuted = true, code.NotExecuted()
		if code == OK {
			tracked.ended = true
		}
		outcome := Outcome{
			ID: tracked.ID, Attempt: n, Server: action.Server, Code: code, Latency: latency, Answered: tracked.ended,
		}
		w.handle(outcome)
		if w.rng.IntN(20) == 0 {
			w.handle(outcome)
		}
	})
}

// checkRetryBudget records a retry and checks the retry budget with its own count.
func (w *workload) checkRetryBudget() {
	w.retries = append(w.retries, w.now)
	budget := w.settings.Rules.RetryBudget
	if budget == nil {
		return
	}
	within := func(times []Time) (n int) {
		for _, at := range times {
			if at > w.now-budget.Window {
				n++
			}
		}
		return n
	}
	allowed := budget.MinRetries + budget.RetryRatio*float64(within(w.accepted))
	if n := within(w.retries); float64(n) > allowed {
		w.t.Errorf("%d retries within %v, at most %v allowed", n, budget.Window, allowed)
	}
}

func (w *workload) checkAnswer(tracked *trackedRequest, action Action) {
	if tracked == nil || tracked.ended {
		w.t.Fatalf("unknown or ended request answered: %+v", action)
	}
	tracked.ended = true
	mayRunTwice := tracked.class.Idempotency == Idempotent ||
		tracked.class.Idempotency == IdempotencyKeyed && tracked.class.DedupScope == DedupAll
	for _, former := range tracked.attempts {
		if action.Kind == Reject && !former.notExecuted && !mayRunTwice {
			w.t.Errorf("request of class %s rejected though it may have been executed", tracked.class.Name)
		}
	}
}

func (w *workload) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	stall := w.rng.IntN(400) == 0 // the balancer gets no events for a while, then all events that are due
	if stall {
		w.now += time.Duration(w.rng.IntN(900)) * ms
	}
	due := w.tasks
	w.tasks = nil
	slices.SortStableFunc(due, func(x, y task) int { return int(x.at - y.at) })
	for _, k := range due {
		if k.at > w.now {
			w.tasks = append(w.tasks, k)
			continue
		}
		k.run()
	}
	for id, tracked := range w.trackedRequests { // requests are only checked and deleted, so the map order does not matter
		if !tracked.ended && w.now > tracked.deadline+5*ms && !stall {
			w.t.Fatalf("request %s of class %s got no answer in time", id, tracked.class.Name)
		}
		if tracked.ended && w.now > tracked.deadline+time.Second {
			delete(w.trackedRequests, id)
		}
	}
	switch w.rng.IntN(60) {
	case 0:
		w.changeEndpoints()
	case 1:
		w.handle(Timer{Token: w.rng.Uint64()})
		w.handle(ClientGone{ID: "nobody"})
		w.handle(Outcome{ID: "nobody", Server: "nowhere"})
		w.handle(ProbeResult{Server: "nowhere"})
		w.handle(PeerMessage{From: 99, Body: "\x00"})
	}
	if w.rng.IntN(w.arrivalPeriod) == 0 {
		for range w.rng.IntN(3) {
			w.sendRandomRequest()
		}
	}
}

func (w *workload) sendRandomRequest() {
	w.lastID++
	c := Class{Name: "stranger"}
	if w.rng.IntN(10) > 0 {
		c = w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	}
	r := Request{
		ID: fmt.Sprint("r", w.lastID), Class: c.Name, Tenant: []string{"t", "t", "u", "?", ""}[w.rng.IntN(5)],
		ExpiresIn: time.Duration(1+w.rng.IntN(600)) * ms, Key: fmt.Sprint(w.rng.IntN(30)),
	}
	tracked := &trackedRequest{Request: r, class: c, deadline: w.now + r.ExpiresIn}
	w.trackedRequests[r.ID] = tracked
	w.accepted = append(w.accepted, w.now)
	w.handle(r)
	if !tracked.ended && w.rng.IntN(40) == 0 {
		w.schedule(ms, func() {
			if !tracked.ended {
				tracked.ended = true
				w.handle(ClientGone{ID: r.ID})
			}
		})
	}
}

// changeEndpoints drains, removes, restarts or adds a server, and passes on the change or the complete list.
func (w *workload) changeEndpoints() {
	id := fmt.Sprintf("s%02d", w.rng.IntN(10))
	endpoint, listed := w.endpoints[id]
	switch {
	case !listed:
		endpoint = testEndpoints(10)[w.rng.IntN(10)]
		endpoint.OnlineSince = w.now
		w.endpoints[endpoint.Server] = endpoint
		delete(w.drainingSince, endpoint.Server)
	case w.rng.IntN(3) == 0:
		endpoint.OnlineSince, endpoint.Availability = w.now, Running
		w.endpoints[id] = endpoint
		delete(w.drainingSince, id)
	case w.rng.IntN(3) == 0: // the list names another group, for example of another process under the same name
		other := testEndpoints(10)[w.rng.IntN(10)]
		endpoint.Zone, endpoint.Cell = other.Zone, other.Cell
		w.endpoints[id] = endpoint
	case endpoint.Availability == Running:
		endpoint.Availability = Draining
		w.endpoints[id] = endpoint
		w.drainingSince[id] = w.now
	default:
		endpoint.Availability = Removed
		delete(w.endpoints, id)
	}
	if w.rng.IntN(2) == 0 {
		w.handle(EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{endpoint}})
		return
	}
	w.handle(EndpointList{Kind: ListReplace, Endpoints: w.listedEndpoints()})
}

func TestBalancer_KeepsInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newWorkload(t, seed)
			for range 1500 {
				w.step()
			}
		})
	}
}

func TestBalancer_IsDeterministic(t *testing.T) {
	run := func() []string {
		w := newWorkload(t, 12)
		for range 800 {
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to different actions")
	}
}

// TestBalancer_ForgetsFinishedRequests checks that the state of a request is released after the request has ended.
func TestBalancer_ForgetsFinishedRequests(t *testing.T) {
	w := newWorkload(t, 4)
	for range 3000 {
		w.step()
	}
	if n := len(w.balancer.requests); n > 600 {
		t.Errorf("%d requests kept, want at most 600", n)
	}
}

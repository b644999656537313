package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// world plays random legal events at one node and checks the invariants that a node keeps alone: one final
// answer in time, no forbidden retry or rejection, no late send to a draining server, placement, and
// the retry budget. It counts by itself and shares no code with the module.
type world struct {
	t             *testing.T
	rng           *rand.Rand
	settings      Settings
	balancer      *Balancer
	now           Time
	endpoints     map[string]Endpoint
	drainingSince map[string]Time // when a server was listed as draining or removed
	exchanges     map[string]*exchange
	lastID        int
	tasks         []task // outcomes, timers, probe results to come
	log           []string

	faultDivisor  int // 5 of so many attempts fail, at least
	maxLatency    int // ms
	arrivalPeriod int // steps between arrivals, on average

	accepted []Time // all requests received
	retries  []Time // all attempts beyond a request's first
}

// exchange is a request as the client sees it.
type exchange struct {
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

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := randomSettings(rng, seed)
	b, err := New(settings, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, rng: rng, settings: settings, balancer: b,
		endpoints: map[string]Endpoint{}, drainingSince: map[string]Time{}, exchanges: map[string]*exchange{},
		faultDivisor:  []int{8, 20, 60}[seed/3%3],
		maxLatency:    []int{300, 50}[seed/2%2],
		arrivalPeriod: []int{1, 8}[seed/4%2],
	}
	for _, endpoint := range testEndpoints(1 + rng.IntN(9)) {
		if rng.IntN(4) == 0 {
			endpoint.OnlineSince = 1
		}
		w.endpoints[endpoint.Server] = endpoint
	}
	w.handle(EndpointList{Kind: ListRestored, Endpoints: w.listed()})
	return w
}

// randomSettings is a deployment that differs with the seed.
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
	for i := range settings.Classes { // windows shorter than the time a request is worth another attempt
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

func (w *world) listed() []Endpoint {
	var out []Endpoint
	for i := range 10 {
		if m, ok := w.endpoints[fmt.Sprintf("s%02d", i)]; ok {
			out = append(out, m)
		}
	}
	return out
}

func (w *world) schedule(wait time.Duration, run func()) {
	w.tasks = append(w.tasks, task{w.now + wait, run})
}

func (w *world) handle(event Event) {
	for _, a := range slices.Clone(w.balancer.Handle(w.now, event)) {
		w.log = append(w.log, fmt.Sprintf("%v %+v", w.now, a))
		w.carryOut(a)
	}
}

func (w *world) carryOut(action Action) {
	client := w.exchanges[action.ID]
	switch action.Kind {
	case Send:
		w.checkSend(client, action)
		w.send(client, action)
	case Reject, Fail:
		w.checkAnswer(client, action)
	case Cancel:
		if !w.settings.Capabilities.Cancel || action.Attempt >= len(client.attempts) {
			w.t.Errorf("cancel of an unknown attempt, or where it is not allowed: %+v", action)
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

func (w *world) probe(server string) {
	load := float64(w.rng.IntN(6))
	if !w.settings.Capabilities.Probe {
		w.t.Errorf("probe where it is not allowed")
	}
	if w.rng.IntN(3) > 0 {
		w.schedule(ms*time.Duration(w.rng.IntN(30)), func() {
			w.handle(ProbeResult{Server: server, Code: OK, LoadReport: []float64{load}})
		})
	}
}

// checkSend checks that an attempt may be made, and may go to its server.
func (w *world) checkSend(client *exchange, action Action) {
	endpoint, listed := w.endpoints[action.Server]
	if since, ok := w.drainingSince[action.Server]; ok && w.now > since+w.settings.Rules.DrainGrace {
		w.t.Errorf("%s drains since %v, sent to at %v", action.Server, since, w.now)
	}
	if !listed && w.drainingSince[action.Server] == 0 {
		w.t.Errorf("unknown server %q", action.Server)
	}
	if client == nil || client.ended || w.now >= client.deadline {
		w.t.Fatalf("send after the end: %+v", action)
	}
	w.checkRetry(client, endpoint, action)
	if class := client.class; len(class.Kinds) > 0 && !slices.Contains(class.Kinds, endpoint.Kind) ||
		len(class.Zones) > 0 && !slices.Contains(class.Zones, endpoint.Zone) {
		w.t.Errorf("%s sent to %s of kind %s in zone %s", class.Name, action.Server, endpoint.Kind, endpoint.Zone)
	}
	if len(client.attempts) > 0 {
		w.checkRetryBudget()
	}
}

// checkRetry checks an attempt against those before it: none may run twice that must not, and there may be only
// so many.
func (w *world) checkRetry(client *exchange, endpoint Endpoint, action Action) {
	pending := 0
	for _, former := range client.attempts {
		if !former.done {
			pending++
		}
		if former.notExecuted {
			continue
		}
		switch client.class.Idempotency {
		case NonIdempotent:
			w.t.Errorf("%s sent again though it may have run", client.class.Name)
		case IdempotencyKeyed:
			scope := client.class.DedupScope
			if w.now > former.sentAt+client.class.DedupWindow || scope == DedupZone && endpoint.Zone != former.server.Zone ||
				scope == DedupCell && endpoint.Cell != former.server.Cell {
				w.t.Errorf("%s sent again outside its scope or window", client.class.Name)
			}
		}
	}
	allowed := w.settings.Capabilities
	if pending > 0 && !allowed.Hedge || len(client.attempts) >= allowed.MaxAttempts {
		w.t.Errorf("a hedged request or an attempt too many: %+v", action)
	}
}

// send draws how an attempt will end, and schedules its outcome, sometimes twice.
func (w *world) send(client *exchange, action Action) {
	n := len(client.attempts)
	client.attempts = append(client.attempts, sentAttempt{server: w.endpoints[action.Server], sentAt: w.now})
	until := client.deadline
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
		client.attempts[n].done, client.attempts[n].notExecuted = true, code.NotExecuted()
		if code == OK {
			client.ended = true
		}
		outcome := Outcome{
			ID: client.ID, Attempt: n, Server: action.Server, Code: code, Latency: latency, Answered: client.ended,
		}
		w.handle(outcome)
		if w.rng.IntN(20) == 0 {
			w.handle(outcome)
		}
	})
}

// checkRetryBudget checks the retry budget by its own count.
func (w *world) checkRetryBudget() {
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
		w.t.Errorf("%d attempts beyond the first in %v, at most %v allowed", n, budget.Window, allowed)
	}
}

func (w *world) checkAnswer(client *exchange, action Action) {
	if client == nil || client.ended {
		w.t.Fatalf("answered twice: %+v", action)
	}
	client.ended = true
	mayRunTwice := client.class.Idempotency == Idempotent ||
		client.class.Idempotency == IdempotencyKeyed && client.class.DedupScope == DedupAll
	for _, former := range client.attempts {
		if action.Kind == Reject && !former.notExecuted && !mayRunTwice {
			w.t.Errorf("%s rejected though it may have run", client.class.Name)
		}
	}
}

func (w *world) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	stall := w.rng.IntN(400) == 0 // the node gets no turn, and then all that came meanwhile at once
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
	for id, p := range w.exchanges { // order is irrelevant: only checked and dropped
		if !p.ended && w.now > p.deadline+5*ms && !stall {
			w.t.Fatalf("%s (%s) has no answer in time", id, p.class.Name)
		}
		if p.ended && w.now > p.deadline+time.Second {
			delete(w.exchanges, id)
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
			w.arrive()
		}
	}
}

func (w *world) arrive() {
	w.lastID++
	c := Class{Name: "stranger"}
	if w.rng.IntN(10) > 0 {
		c = w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	}
	r := Request{
		ID: fmt.Sprint("r", w.lastID), Class: c.Name, Tenant: []string{"t", "t", "u", "?", ""}[w.rng.IntN(5)],
		ExpiresIn: time.Duration(1+w.rng.IntN(600)) * ms, Key: fmt.Sprint(w.rng.IntN(30)),
	}
	p := &exchange{Request: r, class: c, deadline: w.now + r.ExpiresIn}
	w.exchanges[r.ID] = p
	w.accepted = append(w.accepted, w.now)
	w.handle(r)
	if !p.ended && w.rng.IntN(40) == 0 {
		w.schedule(ms, func() {
			if !p.ended {
				p.ended = true
				w.handle(ClientGone{ID: r.ID})
			}
		})
	}
}

// changeEndpoints drains, removes, restarts or adds a server, or sends the complete list.
func (w *world) changeEndpoints() {
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
	w.handle(EndpointList{Kind: ListReplace, Endpoints: w.listed()})
}

func TestBalancer_KeepsInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			w := newWorld(t, seed)
			for range 1500 {
				w.step()
			}
		})
	}
}

func TestBalancer_IsDeterministic(t *testing.T) {
	run := func() []string {
		w := newWorld(t, 12)
		for range 800 {
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to other actions")
	}
}

// The state kept for a request is released once the request has ended.
func TestBalancer_ForgetsFinishedRequests(t *testing.T) {
	w := newWorld(t, 4)
	for range 3000 {
		w.step()
	}
	if n := len(w.balancer.requests); n > 600 {
		t.Errorf("%d requests kept", n)
	}
}

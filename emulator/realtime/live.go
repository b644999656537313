// Package realtime plays a plan on real sockets and in real time, on loopback: nodes are processes of the daemon,
// servers are the emulator's behind their face, discovery speaks its own form, and clients are open loop. What
// it can't do as virtual time does is listed in docs/rehearse.md.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/emulator/sim"
)

const (
	slack       = 100 * time.Millisecond // that goroutines and sockets may blur
	mostFlying  = 20000                  // requests in the clients' hands; beyond, the generator can't keep up
	lateSend    = 20 * time.Millisecond  // a request sent so late after its time
	latePart    = 0.01                   // of all makes the run void
	lookEvery   = 50 * time.Millisecond
	mostServers = 400
	mostNodes   = 24
)

// Options are what a rehearsal is told beside its plan.
type Options struct {
	Command  []string // starts a node, as `wayhold serve`; what it is told is in the environment
	XDS      NewAgent // discovery as a control plane; nil where this program has none
	Levels   string   // the tables [service] and [[level]] of every node's own file; empty: full service always
	Progress func(at time.Duration)
	Detail   func(*plan.Request, result.Outcome)
}

// world is all that runs.
type world struct {
	p     *plan.Plan
	o     Options
	dir   string
	court *court

	servers []*server
	nodes   []*node
	clients []*http.Client // by node
	front   *plan.Balancer
	frontMu sync.Mutex

	keysMu sync.Mutex
	keys   map[string]*model.KeyTable

	parts  sync.WaitGroup
	timers sync.WaitGroup
	quit   chan struct{}
	failMu sync.Mutex
	failed error
	stop   context.CancelFunc

	lateMu sync.Mutex
	late   []time.Duration // delays that the list has on top
	flying chan struct{}
	behind int // requests sent late
	sent   int
}

func (w *world) now() time.Duration { return w.court.now() }

// fail ends the rehearsal, for the first reason that is given.
func (w *world) fail(err error) {
	w.failMu.Lock()
	defer w.failMu.Unlock()
	if w.failed == nil {
		w.failed = err
	}
	w.stop()
}

// Run plays a plan to its end, and ends all that it has started.
func Run(ctx context.Context, p *plan.Plan, o Options) (_ *result.Result, err error) {
	if len(p.Servers) > mostServers || len(p.Nodes) > mostNodes {
		return nil, fmt.Errorf("live: %d servers and %d nodes: real time takes %d and %d at most; virtual time takes more",
			len(p.Servers), len(p.Nodes), mostServers, mostNodes)
	}
	if p.Script.Discovery.Protocol == "xds" && o.XDS == nil {
		return nil, errors.New(`live: discovery.form = "xds": this program has no xDS; run wayhold-xds in its place`)
	}
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := &world{
		p: p, o: o, dir: dir, front: p.NewBalancer(), keys: make(map[string]*model.KeyTable), quit: make(chan struct{}), stop: stop,
		flying: make(chan struct{}, mostFlying),
	}
	places := make(map[string]*plan.Server)
	for i := range p.Servers {
		places[p.Servers[i].ID] = &p.Servers[i]
	}
	rules := sim.CheckerConfig(p, func(id string) (string, int64) {
		if s := places[strings.TrimRight(id, "r")]; s != nil {
			return s.Zone, s.Cell
		}
		return "", 0
	})
	rules.Slack = slack
	w.court = &court{p: p, began: time.Now(), judge: checker.New(rules), book: result.NewRecorder(p, "real", o.Detail), requests: make(map[string]*request)}
	defer w.parts.Wait()
	defer w.timers.Wait()
	defer close(w.quit)
	for i := range p.Servers {
		s := &server{w: w, spec: &p.Servers[i], index: i}
		defer s.crash()
		if err := s.start(p.Servers[i].ID, true); err != nil {
			return nil, err
		}
		w.servers = append(w.servers, s)
	}
	for i := range p.Nodes {
		n, err := w.addNode(ctx, i)
		if n != nil {
			defer n.agent.Stop()
			defer n.kill()
		}
		if err != nil {
			return nil, err
		}
	}
	defer func() {
		for _, c := range w.clients {
			c.CloseIdleConnections()
		}
	}()
	w.court.mu.Lock() // the clock of the script begins when all is there
	w.court.began = time.Now()
	w.court.mu.Unlock()
	for i := range p.Faults {
		f := &p.Faults[i]
		w.at(f.At, func() { w.begin(f) })
		w.at(f.End(), func() { w.end(ctx, f) })
	}
	if o.Levels != "" {
		w.parts.Go(w.levels)
	}
	w.timers.Go(w.watch) // it starts timers: none may begin once they are waited for
	w.traffic(ctx)
	w.failMu.Lock()
	err = w.failed
	w.failMu.Unlock()
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, err
	}
	if w.behind > int(latePart*float64(w.sent)) {
		w.court.book.Invalidate(fmt.Sprintf("the load generator sent %d of %d requests more than %v late: this machine is too busy or too small for the script", w.behind, w.sent, lateSend))
	}
	w.court.mu.Lock()
	defer w.court.mu.Unlock()
	return w.court.book.Finish(w.court.judge.Finish()), nil
}

func (w *world) addNode(ctx context.Context, i int) (*node, error) {
	n := &node{w: w, index: i, spec: &w.p.Nodes[i]}
	var first []Entry
	for _, s := range w.servers {
		first = append(first, s.entry(i, "up"))
	}
	var err error
	start := NewAgent(startAgent)
	if w.p.Script.Discovery.Protocol == "xds" {
		start = w.o.XDS
	}
	if n.agent, err = start(w.dir, first, func(id string, open bool) { w.court.told(n.spec.Name, id, open) }); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	w.clients = append(w.clients, &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}})
	return n, n.start(ctx)
}

// at has something happen at a moment of the script, unless the rehearsal ends before.
func (w *world) at(at time.Duration, do func()) {
	w.timers.Go(func() {
		t := time.NewTimer(time.Until(w.court.began.Add(at)))
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-w.quit:
		}
	})
}

// levels books the level of service at the first node, each second.
func (w *world) levels() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last := result.Level{}
	for {
		select {
		case <-tick.C:
		case <-w.quit:
			return
		}
		if l, ok := w.nodes[0].level(); ok {
			last = l
		}
		w.court.mu.Lock()
		w.court.book.Level(last)
		w.court.mu.Unlock()
	}
}

// watch sees to servers that have fallen over.
func (w *world) watch() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, s := range w.servers {
				s.look()
			}
			if w.o.Progress != nil {
				w.o.Progress(w.now())
			}
		case <-w.quit:
			return
		}
	}
}

// heard has discovery learn of a server, and each node in its time.
func (w *world) heard(s *server, phase string) {
	w.lateMu.Lock()
	var more time.Duration
	for _, d := range w.late {
		more += d
	}
	w.lateMu.Unlock()
	for i, n := range w.nodes {
		e := s.entry(i, phase)
		w.at(w.now()+n.spec.DiscoveryDelay+more, func() { n.agent.Set(e) })
	}
}

func (w *world) begin(f *plan.Fault) {
	for _, i := range f.Servers {
		s := w.servers[i]
		switch f.Kind {
		case script.FaultCrash, script.FaultReplaced:
			s.crash()
			w.heard(s, "removed")
		case script.FaultDrain:
			w.heard(s, "draining")
		case script.FaultListWrong:
			w.heard(s, "removed")
		}
	}
	switch f.Kind {
	case script.FaultDiscoveryDown:
		for _, n := range w.nodes {
			n.agent.Silence(true)
		}
	case script.FaultListLate:
		w.lateMu.Lock()
		w.late = append(w.late, f.Delay)
		w.lateMu.Unlock()
	case script.FaultNodeCrash:
		for _, i := range f.Nodes {
			n := w.nodes[i]
			n.kill()
			w.court.do(func(time.Duration) { w.court.judge.NodeDown(n.spec.Name) })
			_, _, life := n.state()
			w.at(w.now()+w.p.Script.Nodes.FailureDetection, func() {
				if _, up, now := n.state(); !up && now == life {
					w.notice(i, true)
				}
			})
		}
	}
}

func (w *world) notice(node int, dead bool) {
	w.frontMu.Lock()
	defer w.frontMu.Unlock()
	w.front.SetDown(node, dead)
}

func (w *world) end(ctx context.Context, f *plan.Fault) {
	for _, i := range f.Servers {
		s := w.servers[i]
		var err error
		switch f.Kind {
		case script.FaultCrash, script.FaultDrain:
			s.crash()
			err = s.start(s.id, false)
		case script.FaultReplaced:
			err = s.start(s.id+"r", false)
		case script.FaultListWrong:
		default:
			continue
		}
		if err != nil {
			w.fail(err)
			return
		}
		w.heard(s, "up")
	}
	switch f.Kind {
	case script.FaultDiscoveryDown:
		for _, n := range w.nodes {
			n.agent.Silence(false)
		}
	case script.FaultListLate:
		w.lateMu.Lock()
		for i, d := range w.late {
			if d == f.Delay {
				w.late = append(w.late[:i:i], w.late[i+1:]...)
				break
			}
		}
		w.lateMu.Unlock()
	case script.FaultNodeCrash:
		for _, i := range f.Nodes {
			if err := w.nodes[i].start(ctx); err != nil {
				w.fail(err)
				return
			}
			w.notice(i, false)
		}
	}
}

// traffic sends requests at their times, whatever becomes of them, and waits for the last answer.
func (w *world) traffic(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	arrivals := w.p.Arrivals()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		next, ok := arrivals.Next()
		if !ok {
			return
		}
		if d := time.Until(w.court.began.Add(next.At)); d > 0 {
			pause.Reset(d)
			select {
			case <-pause.C:
			case <-ctx.Done():
				return
			}
		}
		lag := w.now() - next.At
		w.sent++
		if lag > lateSend {
			w.behind++
		}
		select {
		case w.flying <- struct{}{}:
		default:
			w.court.do(func(time.Duration) {
				w.court.book.Invalidate(fmt.Sprintf("more than %d requests were in the clients' hands", mostFlying))
			})
			return
		}
		r := &request{Request: next, work: w.p.Work(&next)}
		w.court.do(func(time.Duration) { w.court.book.RequestArrived(&r.Request); w.court.book.GeneratorLag(lag) })
		all.Go(func() { w.client(ctx, r); <-w.flying })
	}
}

// client is one request with all its tries.
func (w *world) client(ctx context.Context, r *request) {
	_, leaves := w.p.ClientBehavior(&r.Request)
	for n := 0; ; n++ {
		end, lost, retryAfter := w.try(r, n, leaves)
		leaves = 0
		if end == result.Rejected || end == result.Unreachable || end == result.Failed {
			wait, again := w.p.Retry(&r.Request, n+1, plan.Outcome{
				Rejected: end == result.Rejected, MayHaveRun: end == result.Failed || lost,
				RetryAfter: retryAfter, Elapsed: w.now() - r.At,
			})
			if again {
				t := time.NewTimer(wait)
				select {
				case <-t.C:
					continue
				case <-ctx.Done():
					t.Stop()
				}
			}
		}
		w.court.do(func(now time.Duration) {
			if end == result.Served {
				w.court.book.WorkUseful(r.ran)
			}
			w.court.book.RequestDone(&r.Request, result.Outcome{Status: end, Latency: now - r.At, ClientAttempts: n + 1, ServerAttempts: r.attempts, Faults: r.faults})
		})
		return
	}
}

// try sends a request once. lost says that the client can't know whether it ran.
func (w *world) try(r *request, n int, leaves float64) (end result.Status, lost bool, retryAfter time.Duration) {
	s := w.p.Script
	i := r.Node
	if i < 0 || n > 0 {
		w.frontMu.Lock()
		i = w.front.Next(r.Zone)
		w.frontMu.Unlock()
	}
	if i < 0 {
		return result.Unreachable, false, 0
	}
	node, class := w.nodes[i], s.Classes[r.Class]
	addr, up, life := node.state()
	if !up {
		time.Sleep(2 * s.Network.ClientDelay)
		return result.Unreachable, false, 0
	}
	id, patience := r.AttemptID(n), w.p.AttemptTimeout(&r.Request, w.now()-r.At)
	stays := patience
	if leaves > 0 {
		stays = time.Duration(leaves * float64(patience))
	}
	method := http.MethodPost
	if class.Idempotency == script.Idempotent {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), stays+s.Rules.AnswerGrace+slack)
	if leaves > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(context.Background(), stays)
	}
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", nil)
	if err != nil {
		w.fail(err)
		return result.Failed, true, 0
	}
	h := req.Header
	h.Set("X-Request-Id", id)
	h.Set("X-Class", class.Name)
	h.Set("X-Tenant", s.Tenants[r.Tenant].Name)
	h.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	if r.Key != "" {
		h.Set("Idempotency-Key", r.Key)
	}
	if n > 0 {
		h.Set("X-Retry", "1")
	}
	w.court.taken(r, id, node.spec.Name, w.now()+patience)
	defer w.court.over(id)
	resp, err := w.clients[i].Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		_, _, lives := node.state()
		left := leaves > 0 && ctx.Err() != nil
		if left || lives != life {
			w.court.do(func(time.Duration) { w.court.judge.ClientLeft(node.spec.Name, id, 0) })
		}
		if left || lives == life {
			return result.ClientLeft, true, 0 // without an answer, though its node lived: the judge will say so
		}
		w.meetNode(r, i)
		return result.Unreachable, true, 0
	}
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	w.court.do(func(now time.Duration) { w.court.judge.ResponseReceived(now, node.spec.Name, id, 0, refused) })
	switch {
	case refused:
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			retryAfter = time.Duration(v * float64(time.Second))
		}
		return result.Rejected, false, retryAfter
	case resp.StatusCode == http.StatusOK:
		return result.Served, false, 0
	}
	return result.Failed, true, 0
}

// meetNode notes that a request was lost with its node.
func (w *world) meetNode(r *request, node int) {
	now := w.now()
	for i := range w.p.Faults {
		f := &w.p.Faults[i]
		for _, n := range f.Nodes {
			if f.Kind == script.FaultNodeCrash && n == node && f.At <= now && now < f.End()+time.Second {
				w.court.met(r, i)
			}
		}
	}
}

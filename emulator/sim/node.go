package sim

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/internal/learnedstate"
	"cobaltward/policy"
	"cobaltward/router"
)

// node is one instance of the router with its machine: its engine, its connections, and the agent by which
// discovery reaches it.
type node struct {
	w       *world
	index   int
	spec    *plan.Node
	engine  *router.Stepped // nil while the process is dead
	born    time.Duration
	lives   int
	wake    time.Duration // when the engine's next timer is due; 0: none is
	conns   int
	idle    map[string][]*conn // by server, the last used at the end
	out     map[router.Attempt]*try
	kept    learnedstate.Snapshot      // what it last wrote down
	rests   []rest                     // of connections, oldest first; those in use since are passed over
	known   map[string]router.Endpoint // as last told
	drained map[string]time.Duration   // since when it knows
	agent   []router.Endpoint          // news that the process has not heard
	ready   time.Duration              // of the newest news: it never overtakes
}

// conn is a connection to a process.
type conn struct {
	p      *process
	used   time.Duration
	broken bool // by a cut or a silence: what goes over it comes to nothing
}

// rest is since when a connection is idle.
type rest struct {
	c     *conn
	since time.Duration
}

func (w *world) addNode(i int) error {
	n := &node{w: w, index: i, spec: &w.p.Nodes[i], known: make(map[string]router.Endpoint)}
	for _, s := range w.servers {
		n.known[s.id] = s.member(policy.Running)
	}
	w.nodes = append(w.nodes, n)
	return n.start()
}

// start runs the process, which begins with the list as last held.
func (n *node) start() error {
	seed := fnv.New64a()
	seed.Write([]byte{byte(n.index), byte(n.index >> 8), byte(n.lives)})
	c := router.Config{Settings: n.w.p.NodeSettings(n.index), MaxInFlight: n.w.p.Script.Nodes.MaxOpen, Seed: n.w.p.Seed ^ seed.Sum64()}
	for _, id := range sortedKeys(n.known) {
		c.Endpoints = append(c.Endpoints, n.known[id])
	}
	var opts []router.Option
	if n.w.o.Without != nil {
		opts = append(opts, router.WithoutGuards(n.w.o.Without()))
	}
	if n.w.o.Levels != nil {
		opts = append(opts, router.WithLevels(*n.w.o.Levels))
	}
	engine, err := router.NewStepped(c, n, epoch.Add(n.w.now), opts...)
	if err != nil {
		return err
	}
	n.engine, n.born, n.wake = engine, n.w.now, 0
	n.w.front.SetDown(n.index, false)
	n.rests = nil
	n.idle, n.conns, n.out = make(map[string][]*conn), 0, make(map[router.Attempt]*try)
	n.drained = make(map[string]time.Duration)
	for id, m := range n.known {
		if m.Availability != policy.Running {
			n.drained[id] = n.w.now
			n.w.judge.EndpointUpdated(n.w.now, n.spec.Name, id, false)
		}
	}
	n.step(func(now time.Duration) { engine.Advance(now) })
	if n.kept.Version == 0 {
		return nil
	}
	return engine.RestoreState(func(prior func(string) (float64, time.Duration, bool)) policy.LearnedState {
		k, _ := learnedstate.Decay(n.kept, epoch.Add(n.w.now), prior, learnedstate.Config{})
		return k
	})
}

// step has the engine do something, and sees to its next timer.
func (n *node) step(do func(now time.Duration)) {
	if n.engine == nil {
		return
	}
	do(n.w.now - n.born)
	at, ok := n.engine.Next()
	if !ok {
		return
	}
	if at = max(n.born+at, n.w.now+1); n.wake <= n.w.now || at < n.wake {
		n.wake = at
		life := n.lives
		n.w.q.put(at, func() {
			if n.wake == at && n.lives == life {
				n.step(func(now time.Duration) { n.engine.Advance(now) })
			}
		})
	}
}

// crash kills the process: all its connections are reset, and what it held is lost.
func (n *node) crash(f *plan.Fault) {
	if n.engine == nil {
		return
	}
	n.w.judge.NodeDown(n.spec.Name)
	n.engine = nil
	n.lives++
	for _, t := range sortedTries(n.out) {
		t.over = true
		t.conn.hangUp(t)
	}
	for _, id := range sortedKeys(n.idle) {
		for _, c := range n.idle[id] {
			c.hangUp(nil)
		}
	}
	n.w.lose(n, f)
	life := n.lives
	n.w.after(n.w.p.Script.Nodes.FailureDetection, func() {
		if n.lives == life && n.engine == nil {
			n.w.front.SetDown(n.index, true)
		}
	})
}

// restart runs the process again, with the list as it last held it; then it asks its agent.
func (n *node) restart() error {
	if n.engine != nil {
		return nil
	}
	if err := n.start(); err != nil {
		return err
	}
	n.listen()
	return nil
}

// news has the agent learn of a server, late.
func (n *node) news(m router.Endpoint) {
	at := n.w.now + n.spec.DiscoveryDelay
	for _, d := range n.w.late {
		at += d
	}
	n.ready = max(n.ready, at)
	n.w.q.put(n.ready, func() {
		n.agent = append(n.agent, m)
		n.listen()
	})
}

// listen has the process hear what the agent has, unless either is out of reach.
func (n *node) listen() {
	if n.w.unheard > 0 || n.engine == nil || len(n.agent) == 0 {
		return
	}
	news := n.agent
	n.agent = nil
	for _, m := range news {
		open := m.Availability == policy.Running
		n.w.judge.EndpointUpdated(n.w.now, n.spec.Name, m.ID, open)
		if m.Availability == policy.Removed {
			delete(n.known, m.ID)
		} else {
			n.known[m.ID] = m
		}
		if open {
			delete(n.drained, m.ID)
		} else if _, there := n.drained[m.ID]; !there {
			n.drained[m.ID] = n.w.now
		}
	}
	n.step(func(now time.Duration) {
		n.engine.UpdateEndpoints(now, router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: news})
	})
}

// unstick ends the connections over which nothing went for a while, once something does again.
func (n *node) unstick() {
	for _, t := range sortedTries(n.out) {
		if t.stuck && !t.blocked() {
			t.broken(t.delay)
		}
	}
}

// Launch begins an attempt, as the transport over HTTP/1.1 does.
func (n *node) Launch(e router.Attempt) {
	w := n.w
	s := w.byID[e.Server]
	r := w.requests[e.Request.ID]
	t := &try{n: n, e: e, server: s, request: r, id: e.Request.ID + "/" + string(rune('0'+e.Number%10)), until: n.born + e.Deadline, key: e.Request.IdempotencyKey, class: e.Request.Class}
	if e.Number >= 10 {
		t.id += "+"
	}
	n.out[e] = t
	if r != nil {
		r.attempts++
		t.work = r.work
	}
	if s == nil {
		w.after(0, func() { t.end(policy.ConnectFailed) })
		return
	}
	if s.state != policy.Running { // the node knows no better, by fault of the list
		for i := range w.p.Faults {
			if f := &w.p.Faults[i]; (f.Kind == script.FaultDiscoveryDown || f.Kind == script.FaultListLate || f.Kind == script.FaultListWrong) && f.At <= w.now && w.now < f.End() {
				t.met(f)
			}
		}
	}
	t.delay = w.delay(w.between(n.spec.Zone, s.spec.Zone), "way", t.id)
	idle := n.idle[s.id]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if w.now-c.used < w.p.Script.Capabilities.ConnIdle/2 && !c.p.dead && !c.broken {
			n.idle[s.id] = idle
			t.conn = c
			t.send()
			return
		}
		n.conns--
		c.hangUp(nil)
	}
	n.idle[s.id] = idle
	if n.conns >= w.p.Script.Nodes.MaxConns && !n.evict() {
		w.after(0, func() { t.end(policy.Superseded) })
		return
	}
	n.conns++
	t.counted = true
	t.connect()
}

// evict closes the connection that was idle longest, to make room.
func (n *node) evict() bool {
	for len(n.rests) > 0 {
		r := n.rests[0]
		n.rests = n.rests[1:]
		idle := n.idle[r.c.p.s.id]
		if i := slices.Index(idle, r.c); i >= 0 && r.c.used == r.since {
			n.idle[r.c.p.s.id] = slices.Delete(idle, i, i+1)
			r.c.hangUp(nil)
			n.conns--
			return true
		}
	}
	return false
}

// rest puts a connection among the idle ones.
func (n *node) rest(c *conn) {
	c.used = n.w.now
	n.idle[c.p.s.id] = append(n.idle[c.p.s.id], c)
	if len(n.rests) > 8*n.w.p.Script.Nodes.MaxConns { // most of them have been in use since
		n.rests = slices.DeleteFunc(n.rests, func(r rest) bool { return r.c.used != r.since })
	}
	n.rests = append(n.rests, rest{c, c.used})
}

// Cancel ends an attempt from the node's side: its connection is closed.
func (n *node) Cancel(e router.Attempt) {
	t := n.out[e]
	if t == nil {
		return
	}
	code := policy.TimedOut
	switch {
	case !e.Expired():
		code = policy.Cancelled
	case !t.sent:
		code = policy.ConnectFailed
	}
	t.off = true
	n.w.after(0, func() { t.end(code) })
}

// CloseIdle drops the idle connections to a server.
func (n *node) CloseIdle(id string) {
	for _, c := range n.idle[id] {
		n.conns--
		c.hangUp(nil)
	}
	delete(n.idle, id)
}

// try is one attempt on its way.
type try struct {
	n       *node
	e       router.Attempt
	request *request
	server  *server
	conn    *conn
	id      string // of the attempt, at the server
	key     string
	class   string
	work    float64
	until   time.Duration
	delay   time.Duration
	counted bool // among the node's connections, while it is made
	sent    bool // its last byte is written
	off     bool // called off
	over    bool
	stuck   bool // nothing comes of it until the way is free again, when it is reset
	fails   bool
	half    bool
	garbled bool
}

func (t *try) met(f *plan.Fault) {
	if t.request != nil {
		t.request.meet(f.Index)
	}
}

// metEnd notes the faults that have ended the server's process.
func (t *try) metEnd() {
	w := t.n.w
	for i := range w.p.Faults {
		f := &w.p.Faults[i]
		if (f.Kind == script.FaultCrash || f.Kind == script.FaultReplaced || f.Kind == script.FaultDrain) && f.At <= w.now && w.now < f.End()+time.Second &&
			slices.ContainsFunc(f.Servers, func(n int) bool { return w.p.Servers[n].ID == strings.TrimRight(t.server.id, "r") }) {
			t.met(f)
		}
	}
}

// blocked tells whether nothing passes between the node and the server, and by which faults.
func (t *try) blocked() bool {
	w := t.n.w
	for _, f := range t.server.silent {
		t.met(f)
	}
	if !w.parted(t.n.spec.Zone, t.server.spec.Zone) {
		return len(t.server.silent) > 0
	}
	for i := range w.p.Faults {
		if f := &w.p.Faults[i]; f.Kind == script.FaultZoneCut && f.At <= w.now && w.now < f.End() {
			t.met(f)
		}
	}
	return true
}

// connect makes a connection, and sends over it.
func (t *try) connect() {
	w, s := t.n.w, t.server
	w.book.Connected()
	if t.blocked() {
		w.after(w.p.Script.Network.ConnectTimeout, func() { t.end(policy.ConnectFailed) })
		return
	}
	w.after(t.delay, func() {
		if t.over {
			return
		}
		p := s.up
		if p == nil || !p.m.Connect(w.now) { // refused
			t.metEnd()
			if p != nil {
				p.run()
			}
			w.after(t.delay, func() { t.end(policy.ConnectFailed) })
			return
		}
		p.run()
		t.conn = &conn{p: p}
		w.after(t.delay*time.Duration(2*w.p.Script.Network.HandshakeRTTs-1), func() {
			if !t.over {
				t.send()
			}
		})
	})
}

// send writes the request, unless that is not allowed any more.
func (t *try) send() {
	w, n := t.n.w, t.n
	if since, there := n.drained[t.server.id]; there && !w.o.Careless && w.now-since >= w.p.Settings.Rules.DrainGrace/2 {
		w.after(0, func() { t.end(policy.ConnectFailed) })
		return
	}
	if t.off || w.now >= t.until {
		w.after(0, func() { t.end(policy.ConnectFailed) })
		return
	}
	if t.e.SendBy > 0 && w.now >= n.born+t.e.SendBy {
		w.after(0, func() { t.end(policy.Superseded) })
		return
	}
	t.sent = true
	w.book.ServerAttempt(w.now, t.e.Number, t.server.spec.Zone != n.spec.Zone)
	if w.o.sent != nil {
		w.o.sent(w.now, n.spec.Name, t.server.id)
	}
	w.judge.AttemptSent(w.now, n.spec.Name, t.e.Request.ID, t.e.Number, t.server.id)
	if t.blocked() {
		t.stuck = true
		return
	}
	p := t.conn.p
	w.after(t.delay, func() {
		p.receive(t)
	})
}

// reply has an end of the attempt come back to the node.
func (t *try) reply(do func()) {
	if t.blocked() {
		t.stuck = true
		return
	}
	t.n.w.after(t.delay, func() {
		if !t.over {
			do()
		}
	})
}

func (t *try) done(discarded bool) {
	t.reply(func() {
		switch {
		case t.half || t.garbled:
			t.end(policy.Reset)
		case t.fails:
			t.end(policy.ServerError)
		default:
			t.end(policy.OK)
		}
	})
}

// turnedAway is the server's word that the request never ran.
func (t *try) turnedAway() {
	t.reply(func() {
		t.n.w.judge.AttemptNotRun(t.n.spec.Name, t.e.Request.ID, t.e.Number)
		t.end(policy.Overloaded)
	})
}

// broken has the connection break; the node learns of it after a while.
func (t *try) broken(after time.Duration) {
	if t.conn != nil {
		t.conn.broken = true
	}
	t.n.w.after(after, func() {
		if t.n.w.o.Lying {
			t.end(policy.ConnectFailed)
		} else {
			t.end(policy.Reset)
		}
	})
}

// end tells the node, once, and sees to the connection.
func (t *try) end(code policy.Code) {
	n := t.n
	if t.over || n.out[t.e] != t {
		return
	}
	t.over = true
	delete(n.out, t.e)
	if c := t.conn; c != nil {
		if (!t.sent || code == policy.OK || code == policy.Overloaded || code == policy.ServerError) && !t.off && !c.p.dead && !c.broken {
			n.rest(c)
		} else {
			n.conns--
			c.hangUp(t)
		}
	} else if t.counted {
		n.conns--
	}
	if code == policy.OK && t.request != nil {
		t.request.ranWork = t.work
	}
	n.step(func(now time.Duration) {
		n.engine.FinishAttempt(now, t.e, router.Result{Code: code, Answer: router.Answer{Body: done}})
	})
}

var done = []byte("done")

// hangUp closes a connection from the node's side; the server learns of it after a while.
func (c *conn) hangUp(t *try) {
	if c == nil {
		return
	}
	p := c.p
	d := p.s.w.p.Script.Network.SameZoneDelay
	if t != nil {
		d = t.delay
	}
	p.s.w.after(d, func() {
		if t != nil {
			p.cancel(t)
		} else if !p.dead {
			p.m.Disconnect(p.s.w.now)
			p.run()
		}
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedTries(m map[router.Attempt]*try) []*try {
	all := make([]*try, 0, len(m))
	for _, t := range m {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int {
		switch {
		case a.id < b.id:
			return -1
		case a.id > b.id:
			return 1
		}
		return 0
	})
	return all
}

package multiprocess

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
)

// Effect is one thing that was done to a node, as its stand-in saw it.
type Effect struct {
	At    time.Duration
	Node  string
	What  string // out, in, begin, commit, hold, lift
	Token uint64
	Key   string
}

func (e Effect) String() string {
	return fmt.Sprintf("%8.3fs %s %s token %d %s", e.At.Seconds(), e.Node, e.What, e.Token, e.Key)
}

// court is all stand-ins that receive effects: the doors of the nodes, and what the operator's commands change.
type court struct {
	rig    *Rig
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	effects []Effect
	nodes   map[string]*standin
	done    map[string]int // commits by key
	broken  []string
}

// standin is a node: its door, and nothing behind it.
type standin struct {
	c      *court
	name   string
	door   *adminapi.Server
	state  drain.State
	until  time.Time // of a drain: when nothing is open any more
	held   map[string]bool
	newest uint64
	out    bool
}

func newCourt(g *Rig) (*court, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &court{rig: g, ln: ln, nodes: make(map[string]*standin), done: make(map[string]int)}
	mux := http.NewServeMux()
	for path, do := range map[string]func(*http.Request) int{"/begin": c.begin, "/replace": c.replace, "/commit": c.commit, "/look": c.look} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(do(r)) })
	}
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(ln) }() // ends with close
	return c, nil
}

func (c *court) close() {
	_ = c.server.Close()
	for _, n := range c.nodes {
		if n.door != nil {
			n.door.Close()
		}
	}
}

// add opens the door of a node.
func (c *court) add(name, socket string) error {
	if c.rig.s.Load > 0 { // the real node opens it
		c.nodes[name] = &standin{c: c, name: name, held: make(map[string]bool)}
		return nil
	}
	d, err := adminapi.Listen(adminapi.Config{Socket: socket}, c.rig.quiet)
	if err != nil {
		return err
	}
	n := &standin{c: c, name: name, door: d, held: make(map[string]bool)}
	d.Handle(http.MethodGet, "/status", func(w http.ResponseWriter, _ *http.Request) { adminapi.WriteJSON(w, http.StatusOK, n.status()) })
	d.Handle(http.MethodPost, "/drain", n.drain)
	d.Handle(http.MethodDelete, "/drain", n.undrain)
	d.Handle(http.MethodPost, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) { n.hold(w, r, true) })
	d.Handle(http.MethodDelete, "/servers/{id}/drain", func(w http.ResponseWriter, r *http.Request) { n.hold(w, r, false) })
	d.Handle(http.MethodGet, "/servers", func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, map[string][]string{"bystrica": {"b-1", "b-2"}, "nitra": {"s-7"}})
	})
	d.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return nil
}

var tokenIn = regexp.MustCompile(`token (\d+)$`)

func (n *standin) settle() {
	if n.state != drain.Serving && !time.Now().Before(n.until) {
		n.state = drain.Drained
	}
}

func (n *standin) status() node.Status {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.settle()
	return node.Status{Version: 1, Name: n.name, At: time.Now(), Drain: drain.Status{State: n.state}, DisabledServers: slices.Sorted(maps.Keys(n.held))}
}

func (n *standin) drain(w http.ResponseWriter, r *http.Request) {
	var o node.DrainRequest
	if !adminapi.ReadJSON(w, r, &o) {
		return
	}
	n.c.mu.Lock()
	n.settle()
	if n.state == drain.Serving {
		n.state, n.until = drain.Announced, time.Now().Add(40*time.Millisecond)
		n.c.effect(n, "out", o.Reason, "")
	}
	n.c.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusAccepted, n.status())
}

func (n *standin) undrain(w http.ResponseWriter, r *http.Request) {
	var o node.DrainRequest
	if !adminapi.ReadJSON(w, r, &o) {
		return
	}
	n.c.mu.Lock()
	if n.state != drain.Serving {
		n.state = drain.Serving
		n.c.effect(n, "in", o.RequestedBy, "")
	}
	n.c.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusOK, n.status())
}

func (n *standin) hold(w http.ResponseWriter, r *http.Request, on bool) {
	n.c.mu.Lock()
	id := r.PathValue("id")
	if delete(n.held, id); on {
		n.held[id] = true
	}
	n.c.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusOK, map[string][]string{})
}

// effect notes one, and holds it against the rules. The caller has the mutex.
func (c *court) effect(n *standin, what, text, key string) {
	e := Effect{At: c.rig.since(), Node: n.name, What: what, Key: key}
	if m := tokenIn.FindStringSubmatch(text); m != nil {
		e.Token, _ = strconv.ParseUint(m[1], 10, 64) // digits
	}
	c.effects = append(c.effects, e)
	fail := func(format string, args ...any) {
		c.broken = append(c.broken, fmt.Sprintf(format, args...)+": "+e.String())
	}
	if e.Token < n.newest {
		fail("out of token order, after %d", n.newest)
	}
	n.newest = max(n.newest, e.Token)
	switch what {
	case "out":
		n.out = true
		away := 0
		for _, o := range c.nodes {
			if o.out {
				away++
			}
		}
		if away > c.rig.s.AtOnce {
			fail("%d nodes out, and %d may be", away, c.rig.s.AtOnce)
		}
		if serving := len(c.nodes) - away; float64(serving) < c.rig.s.Need {
			fail("%d nodes serve, and %.0f are needed", serving, c.rig.s.Need)
		}
	case "in":
		n.out = false
	case "begin", "commit":
		if n.settle(); n.door != nil && n.state != drain.Drained {
			fail("a node is patched that is not out (%v)", n.state)
		}
		if what == "commit" {
			if c.done[key]++; c.done[key] > 1 {
				fail("a step done %d times", c.done[key])
			}
		}
	}
}

func (c *court) told(r *http.Request, what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[r.FormValue("node")]
	if n == nil {
		return http.StatusBadRequest
	}
	c.effect(n, what, "token "+r.FormValue("token"), r.FormValue("key"))
	return http.StatusOK
}

func (c *court) begin(r *http.Request) int {
	if w := c.rig.traffic; w != nil && !w.drained(r.FormValue("node")) {
		c.rig.fail(r.FormValue("node") + " is patched and not drained")
	}
	return c.told(r, "begin")
}

// replace has a real node end, and its next version begin.
func (c *court) replace(r *http.Request) int {
	if w := c.rig.traffic; w != nil {
		if err := w.replace(r.FormValue("node")); err != nil {
			c.rig.fail(err.Error())
		}
	}
	return http.StatusOK
}

func (c *court) commit(r *http.Request) int { return c.told(r, "commit") }

func (c *court) look(r *http.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done[r.FormValue("key")] > 0 {
		return http.StatusOK
	}
	return http.StatusNotFound
}

// patched is how many nodes a job has patched.
func (c *court) patched(job string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, times := range c.done {
		if times > 0 && strings.HasPrefix(key, job+"/") && strings.HasSuffix(key, "/patch") {
			n++
		}
	}
	return n
}

// holds tells at which nodes a server is held out.
func (c *court) holds(server string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.nodes {
		if o.held[server] {
			n++
		}
	}
	return n
}

// overlaps are effects under an older token than one that another node had already: harmless, and counted.
func (c *court) overlaps() (late, owners int) {
	newest := uint64(0)
	seen := make(map[uint64]bool)
	for _, e := range c.effects {
		if e.Token < newest {
			late++
		}
		newest = max(newest, e.Token)
		seen[e.Token] = true
	}
	return late, len(seen)
}

// tokenFile writes the secret that all processes of the rig bear.
func tokenFile(path string) error { return os.WriteFile(path, []byte("a-secret-of-the-rig\n"), 0o600) }

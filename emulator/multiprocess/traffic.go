package multiprocess

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cobaltward/drain"
	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
)

const (
	appServers = 6
	frontLooks = 50 * time.Millisecond // at each node's readiness
	bookFor    = 1500 * time.Millisecond
	searchFor  = 3 * time.Second
	lostAfter  = time.Second // beyond a request's time: it is lost
	mostFlying = 4000
)

// traffic is real nodes under load: processes of the daemon, emulated app servers, clients behind a front that looks
// at readiness.
type traffic struct {
	g       *Rig
	hosts   []*servermodel.Server
	faces   []*serverprotocol.HTTPServer
	nodes   map[string]*proc
	clients map[string]*http.Client

	mu                            sync.Mutex
	ready                         []string
	sent, served, refused, failed int
	lost, nowhere                 int
	leastReady                    int
	booked                        map[string]bool
	took                          []time.Duration
	flying                        sync.WaitGroup
}

// newTraffic starts app servers and nodes. Each node's door is where its follower looks for it.
func newTraffic(g *Rig) (*traffic, error) {
	t := &traffic{g: g, nodes: make(map[string]*proc), clients: make(map[string]*http.Client), booked: make(map[string]bool), leastReady: g.s.Nodes}
	g.traffic = t // what is started is ended with the rig, also after an error
	var servers strings.Builder
	for i := range appServers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := servermodel.Start(model.Config{Cores: 16, Slots: 16, Queue: 64, Cancel: model.CancelAll}, servermodel.NewGroup(4*time.Second))
		work := model.Work{Dist: model.Exponential, Mean: 0.02}
		t.hosts = append(t.hosts, h)
		t.faces = append(t.faces, serverprotocol.ServeHTTP1(ln, h, func(_, id string) float64 { return work.Draw(g.s.Seed, id) }, nil))
		fmt.Fprintf(&servers, "[[server]]\nid = \"s%d\"\naddress = %q\n", i+1, ln.Addr())
	}
	for _, name := range g.s.Names()[g.s.Council:] {
		p := &proc{g: g, name: "w" + name[1:], role: "node", dir: filepath.Join(g.dir, "w"+name)}
		own := fmt.Sprintf("[[listen]]\naddress = \"127.0.0.1:0\"\n[node]\nname = %q\n[door]\nsocket = %q\n[drain]\nleave = \"500ms\"\n", name, filepath.Join(g.dir, name+".sock")) +
			"[[class]]\nname = \"search\"\nrepeat = \"free\"\naim = \"300ms\"\ndeadline = \"3s\"\n[[class]]\nname = \"book\"\nrepeat = \"never\"\naim = \"500ms\"\ndeadline = \"1500ms\"\n" +
			"[[route]]\nmethods = [\"GET\"]\nclass = \"search\"\n[[route]]\nmethods = [\"POST\"]\nclass = \"book\"\n" + servers.String()
		if err := os.WriteFile(filepath.Join(g.dir, p.name+".toml"), []byte(own), 0o600); err != nil {
			return nil, err
		}
		t.nodes[name] = p
		t.clients[name] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
		if err := p.start(); err != nil {
			return nil, fmt.Errorf("%w: %s", err, strings.Join(p.log, "\n"))
		}
	}
	return t, nil
}

func (t *traffic) close() {
	for _, p := range t.nodes {
		p.kill()
	}
	for _, c := range t.clients {
		c.CloseIdleConnections()
	}
	for i := range t.faces {
		t.faces[i].Close()
		t.hosts[i].Stop()
	}
}

// drained tells whether a node's own door says that nothing is open.
func (t *traffic) drained(name string) bool {
	c, base := adminapi.NewClient(filepath.Join(t.g.dir, name+".sock"), "", nil)
	defer c.CloseIdleConnections()
	c.Timeout = 2 * time.Second
	resp, err := c.Get(base + "/status")
	if err != nil {
		return true // it ended: nothing is open either
	}
	defer resp.Body.Close()
	var s node.Status
	raw, _ := io.ReadAll(resp.Body)
	return decodeJSON(raw, &s) && s.Drain.State == drain.Drained
}

// replace ends a node in order, and starts it again, as a patch would.
func (t *traffic) replace(name string) error {
	p := t.nodes[name]
	if p == nil {
		return fmt.Errorf("there is no node %q", name)
	}
	p.stop()
	return p.start()
}

// run sends requests to the nodes that are ready, at the script's rate, until ctx ends.
func (t *traffic) run(ctx context.Context) {
	var looks sync.WaitGroup
	defer looks.Wait()
	looks.Go(func() { t.look(ctx) })
	for ctx.Err() == nil { // until the front has taken all in
		t.mu.Lock()
		all := len(t.ready) == t.g.s.Nodes
		t.mu.Unlock()
		if all {
			break
		}
		wait(ctx, time.Now().Add(lookAgain))
	}
	rnd := rand.New(rand.NewPCG(t.g.s.Seed, 3))
	next := time.Now()
	room := make(chan struct{}, mostFlying)
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, next)
		next = next.Add(time.Duration(rnd.ExpFloat64() / t.g.s.Load * float64(time.Second)))
		id, book, at := fmt.Sprintf("r%d-%x", n, rnd.Uint64()), rnd.Float64() < 0.4, rnd.IntN(1<<20)
		room <- struct{}{}
		t.flying.Go(func() {
			defer func() { <-room }()
			t.send(id, book, at)
		})
	}
}

// look is the front: it takes out who is not ready.
func (t *traffic) look(ctx context.Context) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	for first := true; ctx.Err() == nil; first = false {
		var ready []string
		for _, name := range t.g.s.Names()[t.g.s.Council:] {
			p := t.nodes[name]
			p.mu.Lock()
			addr := p.addr
			p.mu.Unlock()
			if addr == "" {
				continue
			}
			if resp, err := c.Get("http://" + addr + "/health/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready = append(ready, name)
				}
			}
		}
		t.mu.Lock()
		t.ready = ready
		if !first || len(ready) == t.g.s.Nodes {
			t.leastReady = min(t.leastReady, len(ready))
		}
		t.mu.Unlock()
		wait(ctx, time.Now().Add(frontLooks))
	}
}

// send sends one request. One that could not be connected to any node goes nowhere, and is counted so; one that was
// sent and not answered is lost.
func (t *traffic) send(id string, book bool, at int) {
	began := time.Now()
	t.mu.Lock()
	ready := t.ready
	t.sent++
	t.booked[id] = book
	t.mu.Unlock()
	method, long := http.MethodGet, searchFor
	if book {
		method, long = http.MethodPost, bookFor
	}
	status, connected := 0, false
	for i := 0; i < len(ready) && !connected; i++ {
		name := ready[(at+i)%len(ready)]
		p := t.nodes[name]
		p.mu.Lock()
		addr := p.addr
		p.mu.Unlock()
		ctx, stop := context.WithTimeout(context.Background(), long+lostAfter)
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/rooms", nil)
		if err == nil {
			req.Header.Set("X-Request-Id", id)
			var resp *http.Response
			if resp, err = t.clients[name].Do(req); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				status = resp.StatusCode
			}
		}
		stop()
		connected = addr != "" && (err == nil || !refusedDial(err))
		if err != nil {
			status = 0
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !connected:
		t.nowhere++
	case status == 0:
		t.lost++
	case status == http.StatusOK:
		t.served++
		t.took = append(t.took, time.Since(began))
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		t.refused++
	default:
		t.failed++
	}
}

// verdict waits for the last answers, and says which rules did not hold.
func (t *traffic) verdict() (broken []string) {
	t.flying.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := make(map[string]int)
	for _, h := range t.hosts {
		for _, e := range h.Executions() {
			ran[e.ID]++
		}
	}
	for id, n := range ran {
		if t.booked[id] && n > 1 {
			broken = append(broken, fmt.Sprintf("the booking %s ran %d times", id, n))
		}
	}
	if t.lost+t.nowhere > 0 {
		broken = append(broken, fmt.Sprintf("%d requests lost, and %d found no node", t.lost, t.nowhere))
	}
	if float64(t.leastReady) < t.g.s.Need {
		broken = append(broken, fmt.Sprintf("%d nodes were ready at the least, and %.0f are needed", t.leastReady, t.g.s.Need))
	}
	return broken
}

func (t *traffic) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("; %d requests: %d served, %d refused, %d failed, %d lost, %d found no node; %d of %d nodes ready at the least",
		t.sent, t.served, t.refused, t.failed, t.lost, t.nowhere, t.leastReady, t.g.s.Nodes)
}

func decodeJSON(raw []byte, to any) bool { return json.Unmarshal(raw, to) == nil }

// refusedDial tells whether a request never went out.
func refusedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

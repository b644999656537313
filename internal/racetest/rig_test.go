// Package racetest holds tests alone: instants at which one side ends something while the other has just begun to
// rely on it, forced over loopback sockets. Each party is a stand-in that stops at a named point until the test lets it
// go. A test waits for a state that is seen, never for a time that has passed; what the stand-ins wrote down is the
// judge, not what the node says of itself.
package racetest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is one node among stand-ins.
type rig struct {
	t       *testing.T
	conf    node.Config
	addr    string // of the node's clients
	disc    *discovery
	reloads chan node.Config
	stop    context.CancelFunc
	ended   chan error
	over    bool

	old, young string // addresses of two servers, of tests of the list
	one        string // the request that a test of the end is about

	mu   sync.Mutex
	sent []send // requests whose last byte came to a server, in order
}

// send is one request at a server.
type send struct {
	server, id string
	at         time.Time
}

// settings are long in everything, so that nothing ends but what the test ends.
func settings() policy.Settings {
	class := func(name string, repeat policy.Idempotency) policy.Class {
		return policy.Class{Name: name, LatencyObjective: 40 * time.Second, Deadline: 60 * time.Second, Idempotency: repeat, DedupScope: policy.DedupAll, DedupWindow: 50 * time.Second, PriorityWeight: 1}
	}
	return policy.Settings{
		Nodes: 1, Zone: "a", Classes: []policy.Class{class("read", policy.Idempotent), class("pay", policy.NonIdempotent), class("undo", policy.IdempotencyKeyed)},
		Capabilities: policy.Capabilities{Cancel: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: time.Second, ConnIdleTimeout: time.Minute},
		Rules: policy.Rules{
			DrainGrace: 500 * time.Millisecond, SlowStartShare: 1, OverloadFactor: 3, OverloadDuration: time.Second,
			RetryBudget: &policy.RetryBudget{MinRetries: 1e6, Window: time.Second},
		},
	}
}

// newRig makes a rig whose node has not been started; change may be nil.
func newRig(t *testing.T, change func(c *node.Config)) *rig {
	g := &rig{t: t, reloads: make(chan node.Config, 1), ended: make(chan error, 1)}
	g.disc = newDiscovery(t)
	atOnce := time.Millisecond // tests that are about the end take it out: the daemon's own time holds there
	g.conf = node.Config{
		Name: "n", Discovery: g.disc.addr, Seed: 1, MaxDescriptors: 256, MemoryMB: 64, Settings: settings(), ConnectTimeout: 10 * time.Second, AnnounceFor: &atOnce,
		InitialList: registry.List{Revision: 1, Full: true}, AdminAPI: adminapi.Config{Socket: filepath.Join(t.TempDir(), "door")},
	}
	if change != nil {
		change(&g.conf)
	}
	return g
}

// start runs the node until the test ends, and waits until it is ready.
func (g *rig) start() *rig {
	g.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.disc.knows(g.conf.InitialList)
	go func() { g.ended <- node.Run(ctx, g.conf, ln, g.reloads, slog.New(slog.DiscardHandler)) }()
	g.t.Cleanup(g.end)
	testkit.Await(g.t, "readiness", func() bool {
		resp, err := fresh.Get("http://" + g.addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return g
}

// end ends the node as SIGTERM does, and waits for it.
func (g *rig) end() {
	if g.over {
		return
	}
	g.over = true
	g.stop()
	if err := testkit.Receive(g.t, "the node's end", g.ended); err != nil {
		g.t.Error(err)
	}
}

// fresh has a connection for each request.
var fresh = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// hand is one request in the hands of a server.
type hand struct {
	net.Conn
	id string
	n  int // requests on this connection before
}

// say answers 200 with a body.
func (h hand) say(body string) bool {
	_, err := fmt.Fprintf(h, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// does is what a server does with a request; false ends the connection. nil answers.
type does func(h hand) bool

// server runs a server on a connection level, and returns its address.
func (g *rig) server(id string, do does) string {
	return testkit.RawServer(g.t, func(c net.Conn, r *bufio.Reader) { g.handle(id, do, c, r) })
}

func (g *rig) handle(id string, do does, c net.Conn, r *bufio.Reader) {
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		h := hand{c, req.Header.Get("X-Request-Id"), n}
		g.mu.Lock()
		g.sent = append(g.sent, send{id, h.id, time.Now()})
		g.mu.Unlock()
		if do == nil {
			do = func(h hand) bool { return h.say("done " + h.id) }
		}
		if !do(h) {
			return
		}
	}
}

// silent is a server whose connections don't come up until open is called: the kernel's queue for it is full.
func (g *rig) silent(id string) (addr string, open func()) {
	g.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		g.t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		g.t.Fatal(err)
	}
	addr = fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
	for { // one stands in the queue; who comes after it is not heard
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		g.t.Cleanup(func() { c.Close() })
	}
	var served sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	opened := false
	g.t.Cleanup(func() {
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR) // ends an accept
		if !opened {
			_ = syscall.Close(fd)
		}
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		served.Wait()
	})
	return addr, func() {
		opened = true
		served.Go(func() {
			defer syscall.Close(fd)
			for {
				nfd, _, err := syscall.Accept(fd)
				if err != nil {
					return
				}
				c := fdConn{nfd}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
				served.Go(func() { g.handle(id, nil, c, bufio.NewReader(c)) })
			}
		})
	}
}

// fdConn is a connection below net, of which a server needs only so much.
type fdConn struct{ fd int }

func (c fdConn) Read(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(n, 0), err
}

func (c fdConn) Write(p []byte) (int, error)      { return syscall.Write(c.fd, p) }
func (c fdConn) Close() error                     { return syscall.Shutdown(c.fd, syscall.SHUT_RDWR) }
func (c fdConn) LocalAddr() net.Addr              { return nil }
func (c fdConn) RemoteAddr() net.Addr             { return nil }
func (c fdConn) SetDeadline(time.Time) error      { return nil }
func (c fdConn) SetReadDeadline(time.Time) error  { return nil }
func (c fdConn) SetWriteDeadline(time.Time) error { return nil }

// times is how often a request came to servers whole, and to which.
func (g *rig) times(id string) (servers []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.sent {
		if s.id == id {
			servers = append(servers, s.server)
		}
	}
	return servers
}

// after is the sends to a server later than a moment.
func (g *rig) after(server string, at time.Time) (late []send) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.sent {
		if s.server == server && s.at.After(at) {
			late = append(late, s)
		}
	}
	return late
}

// never checks that a request came to no server.
func (g *rig) never(id string) {
	g.t.Helper()
	if at := g.times(id); len(at) > 0 {
		g.t.Errorf("%s went to %v", id, at)
	}
}

// status is what the node's door says: by it the test sees where the node stands, and judges nothing.
func (g *rig) status() (s node.Status) {
	c, base := adminapi.NewClient(g.conf.AdminAPI.Socket, "", nil)
	defer c.CloseIdleConnections()
	resp, err := c.Get(base + "/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// sees waits until the node stands so.
func (g *rig) sees(what string, ok func(s node.Status) bool) {
	g.t.Helper()
	testkit.Await(g.t, what, func() bool { s := g.status(); return s.Version > 0 && ok(s) })
}

func held(n int) func(node.Status) bool {
	return func(s node.Status) bool { return s.Requests.Queued == n }
}

// idle says that nothing is open and no attempt is out.
func idle(s node.Status) bool { return s.Requests.Open == 0 && s.Requests.AttemptsInFlight == 0 }

// text is a request as a client sends it. headers are whole lines.
func text(id, class, body string, headers ...string) string {
	method := "POST"
	if class == "read" {
		method = "GET"
	}
	s := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\n", method, id, class)
	if !slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, "X-Deadline-Ms") }) {
		headers = append(headers, "X-Deadline-Ms: 60000")
	}
	if class == "undo" {
		headers = append(headers, "Idempotency-Key: k-"+id)
	}
	if method == "POST" {
		headers = append(headers, "Content-Length: "+strconv.Itoa(len(body)))
	}
	return s + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// client is a raw connection of a client.
type peer struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

func (g *rig) client() *peer {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return &peer{c.(*net.TCPConn), bufio.NewReader(c), g.t}
}

func (c *peer) write(s string) *peer {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// answer reads an answer whole.
func (c *peer) answer() (status int, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// there tells whether something of an answer has come.
func (c *peer) there() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.in.Peek(1)
	return err == nil
}

// want reads an answer, which has to be so.
func (c *peer) want(status int) {
	c.t.Helper()
	if got, body, err := c.answer(); err != nil || got != status {
		c.t.Errorf("answered %d %q, %v; want %d", got, body, err, status)
	}
}

// reset ends a connection by RST.
func (c *peer) reset() { _ = c.SetLinger(0); c.Close() }

// ask sends a request on a connection of its own, and returns the status of its answer.
func (g *rig) ask(id, class string) int {
	g.t.Helper()
	c := g.client()
	defer c.Close()
	status, _, err := c.write(text(id, class, "")).answer()
	if err != nil {
		g.t.Errorf("%s: %v", id, err)
	}
	return status
}

// served sends a request behind all that the node has in hand, and has it served.
func (g *rig) served(id string) {
	g.t.Helper()
	if s := g.ask(id, "read"); s != http.StatusOK {
		g.t.Errorf("%s: answered %d", id, s)
	}
}

// discovery is a stand-in whose calls the test may take into its own hands.
type discovery struct {
	addr  string
	calls chan call // of those that nobody waits for, only as many are kept as it holds

	mu      sync.Mutex
	rev     int64
	entries []string
	said    chan struct{} // closed at the next change
	take    func(call, net.Conn) (taken bool)
}

// call is one call for the list.
type call struct {
	n     int    // from 0
	index string // empty: the whole list
	wait  time.Duration
	at    time.Time
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{rev: 1, said: make(chan struct{}), calls: make(chan call, 1024)}
	n := 0
	d.addr = testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			ms, _ := strconv.Atoi(req.URL.Query().Get("wait"))
			d.mu.Lock()
			k := call{n, req.URL.Query().Get("index"), time.Duration(ms) * time.Millisecond, time.Now()}
			n++
			take := d.take
			d.mu.Unlock()
			select {
			case d.calls <- k:
			default:
			}
			if take != nil && take(k, c) {
				continue
			}
			if !d.answer(k, c) {
				return
			}
		}
	})
	return d
}

// answer is an honest one: the whole list, once it is newer than what the call names.
func (d *discovery) answer(k call, c net.Conn) bool {
	after := time.NewTimer(k.wait)
	defer after.Stop()
	for {
		d.mu.Lock()
		rev, text, said := d.rev, d.text(), d.said
		d.mu.Unlock()
		if k.index == "" || k.index != strconv.FormatInt(rev, 10) {
			return reply(c, text)
		}
		gone := make(chan struct{})
		go func() { // the connection carries one call at a time, so what can be read is its end
			defer close(gone)
			_, _ = c.Read(make([]byte, 1))
		}()
		select {
		case <-said:
			_ = c.SetReadDeadline(time.Now())
			<-gone
			_ = c.SetReadDeadline(time.Time{})
		case <-after.C:
			_ = c.SetReadDeadline(time.Now())
			<-gone
			_ = c.SetReadDeadline(time.Time{})
			return reply(c, fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, rev))
		case <-gone:
			return false
		}
	}
}

func (d *discovery) text() string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.rev, strings.Join(d.entries, ","))
}

// list is the whole list as it is now.
func (d *discovery) list() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text()
}

// knows makes what the node has from before the list, unless the test has made one: a node that asks for the whole, as
// after SIGHUP, must not find its servers gone.
func (d *discovery) knows(l registry.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) > 0 || d.rev != l.Revision {
		return
	}
	for _, m := range l.Endpoints {
		d.entries = append(d.entries, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":"up","size":1,"up_since_ms":0}`, m.ID, m.Addr, m.Zone, m.Kind, m.Cell))
	}
}

// restart has revisions begin again.
func (d *discovery) restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev = 1
}

func reply(c net.Conn, text string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// entry is one server of the list.
func entry(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":%q,"size":1,"up_since_ms":0}`, id, addr, phase)
}

// say makes this the list.
func (d *discovery) say(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.rev++
	close(d.said)
	d.said = make(chan struct{})
}

// takes has the test take calls into its own hands; nil gives them back.
func (d *discovery) takes(take func(call, net.Conn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take = take
}

// known is what a node that restarts has.
func known(id, addr string) router.Endpoint {
	return router.Endpoint{ID: id, Addr: addr, Zone: "a", Kind: "k", Cell: 1, Weight: 1}
}

func newReader(c *peer) *bufio.Reader { return bufio.NewReader(c.TCPConn) }

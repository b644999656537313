// Package protocolmatrix runs the same failures over every pair of a front and a transport: whichever protocols
// are spoken, each request has the same outcome, and runs at the servers as often.
package protocolmatrix

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
	"cobaltward/transport/mixed"
	"cobaltward/transport/secure"

	"go.uber.org/goleak"

	msgpackfront "cobaltward/internal/frontend/msgpack"
	msgpacktransport "cobaltward/transport/msgpack"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// window is for how long servers remember a key.
const window = 4 * time.Second

// app is a server that speaks both protocols, each at an address of its own, and does what its script
// says with the requests that reach it whole.
type app struct {
	http, msgpack string
	cut           func() int                 // bytes after which a connection breaks; 0: never
	conf          atomic.Pointer[tls.Config] // of who speaks TLS; set before the first connection

	mu     sync.Mutex
	script []string             // of the next requests; then ok
	ran    map[string]int       // executions by id
	first  map[string]time.Time // by idempotency key
}

func newApp(t testing.TB, cut func() int, script ...string) *app {
	a := &app{cut: cut, script: script, ran: make(map[string]int), first: make(map[string]time.Time)}
	if len(script) > 0 && script[0] == "refuse" {
		a.http = refusing(t)
		a.msgpack = a.http
		return a
	}
	a.http = testkit.RawServer(t, a.serveHTTP)
	a.msgpack = testkit.RawServer(t, a.serveMsgpack)
	return a
}

// refusing is an address that refuses connections: bound, so that nobody else comes to have it, and not
// listened on.
func refusing(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// next is what to do with a request that has come whole, and counts it where that is to run it.
func (a *app) next(id, key string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	do := "ok"
	if len(a.script) > 0 {
		do, a.script = a.script[0], a.script[1:]
	}
	if do != "not_run" && do != "drain" {
		a.ran[id]++
		if _, again := a.first[key]; !again && key != "" {
			a.first[key] = time.Now()
		}
	}
	return do
}

func (a *app) total() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, times := range a.ran {
		n += times
	}
	return n
}

// cutter breaks a connection after so many bytes, wherever that is.
type cutter struct {
	net.Conn
	left atomic.Int64
}

func (c *cutter) take(n int) (int, bool) {
	if left := c.left.Add(int64(-n)); left < 0 {
		return max(0, n+int(left)), true
	}
	return n, false
}

func (c *cutter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n, cut := c.take(n); cut {
		c.Conn.Close()
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *cutter) Write(p []byte) (int, error) {
	n, cut := c.take(len(p))
	if !cut {
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p[:n])
	c.Conn.Close()
	return n, io.ErrClosedPipe
}

// cutting wraps a connection, where cut is not nil, to break after as many bytes as it says.
func cutting(c net.Conn, cut func() int) net.Conn {
	if cut == nil {
		return c
	}
	k := &cutter{Conn: c}
	k.left.Store(int64(cut()))
	return k
}

// cutListener cuts the connections that it accepts.
type cutListener struct {
	net.Listener
	cut func() int
}

func (l cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return cutting(c, l.cut), nil
}

// secured is a connection as the app speaks over it.
func (a *app) secured(c net.Conn) net.Conn {
	if conf := a.conf.Load(); conf != nil {
		return tls.Server(c, conf)
	}
	return c
}

func (a *app) serveHTTP(nc net.Conn, _ *bufio.Reader) {
	c := a.secured(cutting(nc, a.cut))
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		switch a.next(r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")) {
		case "error":
			answer = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		case "not_run", "drain":
			answer = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		case "unknown":
			answer = "HTTP/1.1 418 Teapot\r\nContent-Length: 0\r\n\r\n"
		case "nonsense":
			answer = "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"
		case "large":
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)
		case "reset":
			return
		case "half":
			answer = answer[:len(answer)-2]
			_, _ = io.WriteString(c, answer)
			return
		case "hang":
			_, _ = in.Peek(1) // until the node gives up
			return
		case "slow":
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (a *app) serveMsgpack(nc net.Conn, _ *bufio.Reader) {
	c := a.secured(cutting(nc, a.cut))
	in := msgpackrpc.NewReader(c)
	var writing sync.Mutex
	var slow sync.WaitGroup
	defer slow.Wait()
	write := func(b []byte) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = c.Write(b)
	}
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		m, err := msgpackrpc.Parse(raw)
		if err != nil || m.Kind != msgpackrpc.Request {
			continue // a cancel
		}
		q, err := msgpackrpc.ParseCall(m.Params)
		if err != nil {
			return
		}
		r := msgpackrpc.Reply{Body: []byte("done")}
		answer := msgpackrpc.AppendReply(nil, m.ID, &r)
		code := func(code msgpackrpc.Code) { answer = msgpackrpc.AppendReply(nil, m.ID, &msgpackrpc.Reply{Code: code}) }
		switch a.next(q.ID, q.IdempotencyKey) {
		case "error":
			code(msgpackrpc.ServerError)
		case "not_run":
			code(msgpackrpc.NotRun)
		case "drain":
			code(msgpackrpc.NotRun)
			answer = append(msgpackrpc.AppendDrain(nil), answer...)
		case "unknown":
			code("teapot")
		case "nonsense":
			answer = append(answer[:3:3], 0x80, 0x80) // an error and a result
		case "large": // over the bound of a message
			r.Body = make([]byte, msgpackrpc.MaxMessageSize)
			answer = msgpackrpc.AppendReply(nil, m.ID, &r)
		case "reset":
			return
		case "half":
			write(answer[:len(answer)-2])
			return
		case "hang":
			continue
		case "slow":
			slow.Go(func() { time.Sleep(50 * time.Millisecond); write(answer) })
			continue
		}
		write(answer)
	}
}

// pair is a node with one front and one transport.
type pair struct {
	name  string
	front string // "http" or "msgpack"
	of    func(router.Endpoint) int
	tls   bool // towards the servers
}

var pairs = []pair{
	{"http to http", "http", func(router.Endpoint) int { return 0 }, false},
	{"http to msgpack", "http", func(router.Endpoint) int { return 1 }, false},
	{"msgpack to http", "msgpack", func(router.Endpoint) int { return 0 }, false},
	{"msgpack to msgpack", "msgpack", func(router.Endpoint) int { return 1 }, false},
	{"msgpack to one of each", "msgpack", func(m router.Endpoint) int { return int(m.Cell % 2) }, false},
	{"http to http by TLS", "http", func(router.Endpoint) int { return 0 }, true},
	{"msgpack to msgpack by TLS", "msgpack", func(router.Endpoint) int { return 1 }, true},
}

// caller asks a node, and returns what became of it in the words of the outcomes.
type caller func(ctx context.Context, q msgpackrpc.Call) string

// start runs the node over the servers until the test ends; its clients' connections are cut where cut says. lag is how late
// the engine has been so far, since the host kept it from running.
func (p pair) start(t testing.TB, cut func() int, apps ...*app) (call caller, lag func() time.Duration) {
	t.Helper()
	var members []router.Endpoint
	for i, a := range apps {
		m := router.Endpoint{ID: fmt.Sprint("s", i), Zone: "a", Cell: int64(i), Weight: 1}
		m.Addr = []string{a.http, a.msgpack}[p.of(m)]
		members = append(members, m)
	}
	class := func(name string, repeat policy.Idempotency) policy.Class {
		return policy.Class{Name: name, LatencyObjective: 4 * time.Second, Deadline: 10 * time.Second, Idempotency: repeat, DedupScope: policy.DedupAll, DedupWindow: window, PriorityWeight: 1}
	}
	// A budget of attempts that is never the reason for an outcome.
	set := policy.Settings{
		Nodes: 1, Zone: "a", Classes: []policy.Class{class("read", policy.Idempotent), class("pay", policy.NonIdempotent), class("undo", policy.IdempotencyKeyed)},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond, RetryBudget: &policy.RetryBudget{MinRetries: 1e6, Window: time.Second}},
	}
	var layer *secure.ClientTLS
	if p.tls {
		layer = p.secure(t, apps)
	}
	r, err := router.New(router.Config{Settings: set, Endpoints: members},
		router.WithTransport(mixed.New(p.of, http1.New(http1.Config{TLS: layer}), msgpacktransport.New(msgpacktransport.Config{TLS: layer}))))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	lag = func() time.Duration { return r.Stats().Lag.Max }
	testkit.Await(t, "the node", func() bool { return r.Phase() == router.Serving })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln = cutListener{ln, cut}
	if p.front == "http" {
		server := &http.Server{Handler: middleware.New(r, middleware.WithMatcher(middleware.Any))}
		served := make(chan struct{})
		go func() { _ = server.Serve(ln); close(served) }()
		t.Cleanup(func() { server.Close(); <-served })
		return callHTTP(t, ln.Addr().String()), lag
	}
	front := msgpackfront.New(r, msgpackfront.Config{})
	served := make(chan error, 1)
	go func() { served <- front.Serve(ln) }()
	c := client.New("tcp", ln.Addr().String())
	t.Cleanup(func() {
		c.Close()
		front.Close()
		if err := <-served; !errors.Is(err, msgpackfront.ErrClosed) {
			t.Error(err)
		}
	})
	return func(ctx context.Context, q msgpackrpc.Call) string {
		reply, err := c.Call(ctx, q)
		switch {
		case ctx.Err() != nil:
			return "left"
		case err != nil:
			return err.Error()
		case reply.Code == "":
			return "served " + string(reply.Body)
		case reply.Code == msgpackrpc.Expired: // it promises as little
			return "failed"
		case reply.Code == msgpackrpc.Overloaded:
			return "refused"
		}
		return string(reply.Code)
	}, lag
}

// secure has the apps speak TLS, and returns how the node does.
func (p pair) secure(t testing.TB, apps []*app) *secure.ClientTLS {
	t.Helper()
	ca := pki.NewAuthority("the apps'")
	file := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(file, ca.PEM(), 0o600); err != nil {
		t.Fatal(err)
	}
	trust, err := certificates.Open(certificates.Sources{Trust: file}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	shown := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()
	for _, a := range apps {
		a.conf.Store(&tls.Config{Certificates: []tls.Certificate{shown}})
	}
	layer, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(layer.Close)
	return layer
}

func callHTTP(t testing.TB, addr string) caller {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(c.CloseIdleConnections)
	return func(ctx context.Context, q msgpackrpc.Call) string {
		method := "POST"
		if q.Class == "read" {
			method = "GET"
		}
		if q.Method != "" {
			method = q.Method
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", bytes.NewReader(q.Body))
		if err != nil {
			return err.Error()
		}
		req.GetBody = nil // or the client would repeat by itself
		for k, v := range map[string]string{
			"X-Request-Id": q.ID, "X-Class": q.Class, "X-Tenant": q.Tenant, "Idempotency-Key": q.IdempotencyKey,
			"X-Deadline-Ms": strconv.FormatInt(q.Timeout.Milliseconds(), 10),
		} {
			if v != "" {
				req.Header.Set(k, v)
			}
		}
		resp, err := c.Do(req)
		if err != nil {
			if ctx.Err() != nil {
				return "left"
			}
			return err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err.Error()
		}
		switch resp.StatusCode {
		case 200:
			return "served " + string(body)
		case 429, 503:
			return "refused"
		case 502, 504:
			return "failed"
		case 409:
			return "conflict"
		}
		return "malformed"
	}
}

// The table of failures: what the first server does with what it is sent, and what becomes of a request of
// each class. The second server is well.
func TestFailures(t *testing.T) { failures(t, false) }

// The same over TLS, apart: both at once would take so much of a small machine that answers come late.
func TestFailuresByTLS(t *testing.T) { failures(t, true) }

func failures(t *testing.T, tls bool) {
	type end struct {
		outcome string
		ran     [2]int // at the first and at the second
	}
	first, second, both, none := [2]int{1, 0}, [2]int{0, 1}, [2]int{1, 1}, [2]int{0, 0}
	for _, c := range []struct {
		does            string
		read, pay, undo end
		shorter         time.Duration // the wait
		leaves          bool          // the client does, once its request is at the server
	}{
		{does: "ok", read: end{"served done", first}, pay: end{"served done", first}, undo: end{"served done", first}},
		{does: "slow", read: end{"served done", first}, pay: end{"served done", first}, undo: end{"served done", first}},
		{does: "refuse", read: end{"served done", second}, pay: end{"served done", second}, undo: end{"served done", second}},
		{does: "not_run", read: end{"served done", second}, pay: end{"served done", second}, undo: end{"served done", second}},
		{does: "drain", read: end{"served done", second}, pay: end{"served done", second}, undo: end{"served done", second}},
		{does: "error", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "unknown", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "nonsense", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "large", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "reset", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "half", read: end{"served done", both}, pay: end{"failed", first}, undo: end{"served done", both}},
		{does: "hang", read: end{"refused", first}, pay: end{"failed", first}, undo: end{"refused", first}, shorter: 300 * time.Millisecond},
		{does: "hang", read: end{"left", first}, pay: end{"left", first}, undo: end{"left", first}, leaves: true},
		{does: "bad class", read: end{"malformed", none}, pay: end{"malformed", none}, undo: end{"malformed", none}},
		{does: "no key", read: end{"served done", first}, pay: end{"served done", first}, undo: end{"malformed", none}},
		{does: "no id", read: end{"malformed", none}, pay: end{"malformed", none}, undo: end{"malformed", none}},
		{does: "wrong method", read: end{"malformed", none}, pay: end{"malformed", none}, undo: end{"malformed", none}},
		{does: "the same id again", read: end{"conflict", first}, pay: end{"conflict", first}, undo: end{"conflict", first}},
		{does: "a large body", read: end{"malformed", none}, pay: end{"malformed", none}, undo: end{"malformed", none}},
	} {
		for class, want := range map[string]end{"read": c.read, "pay": c.pay, "undo": c.undo} {
			for _, p := range pairs {
				if p.tls != tls {
					continue
				}
				t.Run(fmt.Sprint(c.does, "/", class, "/", p.name), func(t *testing.T) {
					if c.shorter == 0 { // what is answered 20 ms before its time is up is played alone
						t.Parallel()
					}
					q := msgpackrpc.Call{ID: "r1", Class: class, Tenant: "t", Timeout: 8 * time.Second, Target: "/api"}
					if class == "undo" {
						q.IdempotencyKey = "k1"
					}
					switch c.does {
					case "bad class":
						q.Class = "none"
					case "no key":
						q.IdempotencyKey = ""
					case "no id":
						q.ID = ""
					case "wrong method":
						q.Method = "PUT"
					case "a large body":
						q.Body = make([]byte, 64<<10+1)
					}
					if c.shorter > 0 {
						q.Timeout = c.shorter
					}
					got, ran, late := "", none, true
					for play := 0; late && play < 20; play++ {
						apps := []*app{newApp(t, nil, c.does), newApp(t, nil)}
						call, lag := p.start(t, nil, apps...)
						if c.does == "the same id again" {
							if got := call(t.Context(), q); got != "served done" {
								t.Fatalf("the first: %s", got)
							}
						}
						ctx, leave := context.WithCancel(t.Context())
						if c.leaves {
							go func() {
								defer leave()
								for apps[0].total() == 0 && ctx.Err() == nil {
									time.Sleep(2 * time.Millisecond)
								}
							}()
						}
						got = call(ctx, q)
						leave()
						ran = [2]int{apps[0].total(), apps[1].total()}
						// What is answered 20 ms before its time is up is answered for it 10 ms later, where the host keeps
						// the engine for so long: such a play says nothing, and is played again.
						late = c.shorter > 0 && lag() > 8*time.Millisecond
					}
					if late {
						t.Fatal("the host kept the engine in each of 20 plays")
					}
					if got != want.outcome || ran != want.ran {
						t.Errorf("%s, ran %v; want %s, %v", got, ran, want.outcome, want.ran)
					}
				})
			}
		}
	}
}

// Many calls at once while connections are cut at random bytes, those to the servers, and those of clients,
// who send the same request again: each has one answer, no unsafe one runs twice, and no keyed one has its
// effect twice. EXACTLY_ONCE in the environment asks for more calls a pair, SEED for other cuts.
func TestExactlyOnce(t *testing.T) {
	calls, seed := 400, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("EXACTLY_ONCE")); err == nil && n > 0 {
		calls = n
	}
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = n
	}
	for i, p := range pairs {
		for _, clients := range []bool{false, true} {
			t.Run(fmt.Sprint(p.name, "/clients cut=", clients), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return r.IntN(n) }
				cut := func() int { return 200 + draw(6000) }
				var apps []*app
				for range 4 {
					apps = append(apps, newApp(t, cut))
				}
				var call caller
				least := calls / 2 // that are served
				if clients {       // who lose many calls at once where these share a connection
					call, _ = p.start(t, func() int { return 4000 + draw(40_000) }, apps...)
					least = calls / 4
				} else {
					call, _ = p.start(t, nil, apps...)
				}
				exactlyOnce(t, call, apps, calls, least, draw)
			})
		}
	}
}

// outcomes are the answers that a node gives; anything else is an answer that did not come.
var outcomes = []string{"served done", "failed", "refused", "conflict"}

func exactlyOnce(t *testing.T, call caller, apps []*app, calls, least int, draw func(int) int) {
	var ends sync.Map
	var asked atomic.Int64
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for n := asked.Add(1); n <= int64(calls); n = asked.Add(1) {
				q := msgpackrpc.Call{
					ID: fmt.Sprint("r", n), Class: []string{"read", "pay", "undo"}[n%3], Tenant: "t", Timeout: 8 * time.Second,
					Target: "/api",
				}
				if q.Class != "read" {
					q.Body = make([]byte, draw(300))
				}
				if q.Class == "undo" {
					q.IdempotencyKey = fmt.Sprint("k", n)
				}
				got := call(t.Context(), q)
				for again := 0; again < 20 && !slices.Contains(outcomes, got); again++ { // it was lost: the same once more
					got = call(t.Context(), q)
				}
				if _, twice := ends.LoadOrStore(q.ID, got); twice {
					t.Errorf("%s was answered twice", q.ID)
				}
			}
		})
	}
	workers.Wait()
	counts := make(map[string]int)
	for n := 1; n <= calls; n++ {
		id := fmt.Sprint("r", n)
		got, _ := ends.Load(id)
		outcome := got.(string)
		if !slices.Contains(outcomes, outcome) {
			outcome = "lost"
		}
		counts[outcome]++
		ran := 0
		var begun []time.Time // of a keyed one, at each server
		for _, a := range apps {
			a.mu.Lock()
			ran += a.ran[id]
			if at, ok := a.first[fmt.Sprint("k", n)]; ok {
				begun = append(begun, at)
			}
			a.mu.Unlock()
		}
		slices.SortFunc(begun, time.Time.Compare)
		switch {
		case len(begun) > 1 && begun[len(begun)-1].Sub(begun[0]) > window:
			t.Errorf("%s was sent again %v later, when its key was forgotten", id, begun[len(begun)-1].Sub(begun[0]))
		case n%3 == 1 && ran > 1:
			t.Errorf("%s of the unsafe class ran %d times: %s", id, ran, outcome)
		case outcome == "served done" && ran == 0, outcome == "refused" && n%3 == 1 && ran > 0:
			t.Errorf("%s ran %d times and is %s", id, ran, outcome)
		case outcome == "lost":
			t.Errorf("%s has no answer, though it was asked for again and again: %s", id, got)
		}
	}
	t.Logf("%v", counts)
	if counts["served done"] < least {
		t.Errorf("only %d of %d served", counts["served done"], calls)
	}
}

// Command tlsbench measures what TLS costs a node: handshakes of every kind of key, full and resumed, on both sides;
// memory of connections and sessions; how many handshakes sessions save while connections come and go; and what a storm
// of handshakes does to requests in flight. It is no part of CI.
//
//	go build -o bin/ ./cmd/... && go run ./tools/tlsbench -daemon bin/wayhold
//
// CPU per request with TLS beside httputil.ReverseProxy is tools/bench -tls.
package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/pki"
	"cobaltward/router"
	"cobaltward/transport/secure"

	frontsecure "cobaltward/internal/frontend/secure"
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == "as-storm" {
		if err := stormed(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	daemon := flag.String("daemon", "bin/wayhold", "the node")
	what := flag.String("what", "handshakes,memory,reuse,storm", "what to measure, with commas between")
	n := flag.Int("n", 500, "handshakes of each kind, and connections for memory")
	clients := flag.Int("clients", 2000, "of the storm")
	each := flag.Duration("for", 10*time.Second, "how long the node is loaded")
	share := flag.Float64("share", 0, "of a core for handshakes; 0: the default")
	flag.Parse()
	b := &bench{daemon: *daemon, n: *n, clients: *clients, each: *each, share: *share}
	if err := b.run(strings.Split(*what, ",")); err != nil {
		fmt.Fprintln(os.Stderr, "tlsbench:", err)
		os.Exit(1)
	}
}

type bench struct {
	daemon     string
	n, clients int
	each       time.Duration
	share      float64
	dir        string
	ca         *pki.Authority
	pool       *x509.CertPool
}

func (b *bench) run(what []string) (err error) {
	if b.dir, err = os.MkdirTemp("", "tlsbench"); err != nil {
		return err
	}
	defer os.RemoveAll(b.dir)
	b.ca = pki.Year("bench")
	b.pool = x509.NewCertPool()
	b.pool.AddCert(b.ca.Cert)
	for _, w := range what {
		do, ok := map[string]func() error{"handshakes": b.handshakes, "memory": b.memory, "reuse": b.reuse, "storm": b.storm}[w]
		if !ok {
			return fmt.Errorf("-what: there is no %q", w)
		}
		if err := do(); err != nil {
			return fmt.Errorf("%s: %w", w, err)
		}
	}
	return nil
}

// files writes a certificate of a kind with its key, and the authority.
func (b *bench) files(kind string) (own, trust *certificates.Store, err error) {
	p := b.ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, Kind: kind})
	at := func(name string) string { return filepath.Join(b.dir, name) }
	err = errors.Join(os.WriteFile(at("cert.pem"), pki.PEM(p.Cert), 0o600), os.WriteFile(at("key.pem"), p.KeyPEM(), 0o600), os.WriteFile(at("ca.pem"), b.ca.PEM(), 0o600))
	if err != nil {
		return nil, nil, err
	}
	if own, err = certificates.Open(certificates.Sources{Cert: at("cert.pem"), Key: at("key.pem")}, time.Now()); err != nil {
		return nil, nil, err
	}
	trust, err = certificates.Open(certificates.Sources{Trust: at("ca.pem")}, time.Now())
	return own, trust, err
}

// echo serves connections by TLS, each line as it is.
func echo(own *certificates.Store) (l *frontsecure.Terminator, ln net.Listener, err error) {
	if l, err = frontsecure.New(frontsecure.Config{Certificates: own, CPU: handshakes.NewCPUScheduler(1, runtime.NumCPU(), func() bool { return false })}); err != nil {
		return nil, nil, err
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	ln = l.Listener(raw)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(struct{ io.Writer }{c}, c)
			}()
		}
	}()
	return l, ln, nil
}

// dial makes one connection, with an exchange, so that its ticket comes.
func dial(l *secure.ClientTLS, m router.Endpoint) (*secure.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	l.UpdateServer(m)
	c, err := l.Handshake(ctx, ctx, &m, true, func() (*net.TCPConn, error) {
		nc, err := net.Dial("tcp", m.Addr)
		if err != nil {
			return nil, err
		}
		return nc.(*net.TCPConn), nil
	})
	if err != nil {
		return nil, err
	}
	if _, err = c.Write([]byte("x\n")); err == nil {
		_, err = io.ReadFull(c, make([]byte, 2))
	}
	return c, err
}

// handshakes makes them one after the other.
func (b *bench) handshakes() error {
	fmt.Println("handshakes one after the other, both sides in one process: key, kind, a second, mean time, work of the node as client, as server")
	for _, kind := range []string{pki.RSA2048, pki.P256, pki.Ed25519} {
		own, trust, err := b.files(kind)
		if err != nil {
			return err
		}
		for _, resumed := range []bool{false, true} {
			server, ln, err := echo(own)
			if err != nil {
				return err
			}
			l, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}, CPU: handshakes.NewCPUScheduler(1, runtime.NumCPU(), func() bool { return false })})
			if err != nil {
				return err
			}
			m := router.Endpoint{ID: "s", Addr: ln.Addr().String()}
			for i := range b.n + 1 {
				if !resumed {
					l.RemoveServer(m.ID) // with its session
				}
				c, err := dial(l, m)
				if err != nil {
					return err
				}
				c.Close()
				if i == 0 {
					continue
				}
			}
			name, mine, theirs := "full", l.Stats().Full, server.Stats().Full
			if resumed {
				name, mine, theirs = "resumed", l.Stats().Resumed, server.Stats().Resumed
			}
			per := func(d time.Duration, n uint64) time.Duration { return (d / time.Duration(n)).Round(time.Microsecond) }
			mean := per(mine.TotalTime, mine.Count)
			fmt.Printf("  %-9s %-8s %6.0f  %8v  %8v  %8v   (%d of %d)\n", kind, name, float64(time.Second)/float64(mean), mean, per(mine.ComputeTime, mine.Count), per(theirs.ComputeTime, theirs.Count), mine.Count, b.n+1)
			l.Close()
			ln.Close()
		}
	}
	return nil
}

// heap is what the process holds after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// memory counts what connections and sessions hold, both ends in this process.
func (b *bench) memory() error {
	own, trust, err := b.files(pki.P256)
	if err != nil {
		return err
	}
	_, ln, err := echo(own)
	if err != nil {
		return err
	}
	defer ln.Close()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer plain.Close()
	go func() {
		for {
			c, err := plain.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(struct{ io.Writer }{c}, c) }()
		}
	}()
	n := b.n
	l, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}})
	if err != nil {
		return err
	}
	defer l.Close()
	before := heap()
	var open []net.Conn
	for range n {
		c, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			return err
		}
		if _, err := c.Write([]byte("x\n")); err != nil {
			return err
		}
		if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
			return err
		}
		open = append(open, c)
	}
	without := heap() - before
	for _, c := range open {
		c.Close()
	}
	open = nil
	time.Sleep(200 * time.Millisecond)
	m := router.Endpoint{ID: "s", Addr: ln.Addr().String()}
	before = heap()
	for range n {
		c, err := dial(l, m)
		if err != nil {
			return err
		}
		open = append(open, c)
	}
	with := heap() - before
	for _, c := range open {
		c.Close()
	}
	time.Sleep(200 * time.Millisecond)
	before = heap()
	for i := range n {
		c, err := dial(l, router.Endpoint{ID: fmt.Sprint("s", i), Addr: ln.Addr().String()})
		if err != nil {
			return err
		}
		c.Close()
	}
	time.Sleep(200 * time.Millisecond)
	sessions := heap() - before
	fmt.Printf("memory: a connection of TLS, both ends together, %.1f KB (%.1f KB without TLS); a server with its session %.1f KB (%d kept)\n",
		float64(with)/float64(n)/1e3, float64(without)/float64(n)/1e3, float64(sessions)/float64(n)/1e3, l.Stats().Sessions)
	return nil
}

// stub is a server by TLS, which ends one connection in so many requests; 0: none.
func (b *bench) stub(cert tls.Certificate, every int64, took time.Duration) (string, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var n atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(took)
		if every > 0 && n.Add(1)%every == 0 {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write([]byte("done"))
	})}
	go func() { _ = s.Serve(tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})) }()
	return ln.Addr().String(), func() { s.Close() }, nil
}

// start runs the node before so many servers.
func (b *bench) start(servers int, every int64) (addr, sock string, stop func(), err error) {
	own := b.ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, Kind: pki.P256})
	if _, _, err := b.files(pki.P256); err != nil {
		return "", "", nil, err
	}
	var ends []func()
	var text strings.Builder
	sock = filepath.Join(b.dir, "door.sock")
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that was free just now
	if err != nil {
		return "", "", nil, err
	}
	addr = ln.Addr().String()
	ln.Close()
	fmt.Fprintf(&text, "[[listen]]\naddress = %q\n[[class]]\nname = \"read\"\nrepeat = \"free\"\naim = \"1s\"\ndeadline = \"5s\"\n[door]\nsocket = %q\n"+
		"[tls]\nshare = %v\n[[tls.servers]]\ntrust = \"ca.pem\"\n[tls.clients]\ncert = \"cert.pem\"\nkey = \"key.pem\"\n", addr, sock, max(b.share, 0.01))
	config := text.String()
	if b.share == 0 {
		config = strings.Replace(config, "share = 0.01\n", "", 1)
	}
	for i := range servers {
		at, end, err := b.stub(own.TLS(), every, time.Millisecond)
		if err != nil {
			return "", "", nil, err
		}
		ends = append(ends, end)
		config += fmt.Sprintf("[[server]]\nid = \"s%d\"\naddress = %q\n", i, at)
	}
	file := filepath.Join(b.dir, "own.toml")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return "", "", nil, err
	}
	cmd := exec.Command(b.daemon, "serve", "--config", file)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return "", "", nil, err
	}
	stop = func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		for _, end := range ends {
			end()
		}
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := b.client(1).Get("https://" + addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return addr, sock, stop, nil
			}
		}
		if time.Now().After(end) {
			stop()
			return "", "", nil, errors.New("the node never became ready")
		}
	}
}

func (b *bench) client(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, TLSClientConfig: &tls.Config{RootCAs: b.pool}}}
}

func status(sock string) (st node.TLSStatus, err error) {
	c, base := adminapi.NewClient(sock, "", nil)
	defer c.CloseIdleConnections()
	resp, err := c.Get(base + "/tls")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// load has clients ask, each over a connection that it keeps, until ctx ends; every is between two requests of one.
func (b *bench) load(ctx context.Context, addr string, clients int, every time.Duration, note func(at, took time.Duration, ok bool)) *sync.WaitGroup {
	var all sync.WaitGroup
	began := time.Now()
	for i := range clients {
		all.Go(func() {
			c, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: b.pool})
			if err != nil {
				note(0, 0, false)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for k := 0; ctx.Err() == nil; k++ {
				at := time.Now()
				_, err := fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: l%d-%d\r\n\r\n", i, k)
				ok := false
				if err == nil {
					var resp *http.Response
					if resp, err = http.ReadResponse(in, nil); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						ok = resp.StatusCode == http.StatusOK
					}
				}
				note(at.Sub(began), time.Since(at), ok)
				if err != nil {
					return
				}
				time.Sleep(every)
			}
		})
	}
	return &all
}

// reuse counts the handshakes with servers while connections come and go.
func (b *bench) reuse() error {
	addr, sock, stop, err := b.start(12, 10)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), b.each)
	defer cancel()
	var requests, bad atomic.Int64
	b.load(ctx, addr, 32, 2*time.Millisecond, func(_, _ time.Duration, ok bool) {
		if requests.Add(1); !ok {
			bad.Add(1)
		}
	}).Wait()
	st, err := status(sock)
	if err != nil {
		return err
	}
	s := st.Servers
	fmt.Printf("reuse: %d requests (%d not 200), servers end a connection at each tenth: %d full handshakes, %d resumed: %.1f%% of the full ones saved\n",
		requests.Load(), bad.Load(), s.Full.Count, s.Resumed.Count, 100*s.ResumptionRate())
	return nil
}

// storm has many clients make their handshakes at once, and looks at requests in flight.
func (b *bench) storm() error {
	addr, sock, stop, err := b.start(8, 0)
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), b.each)
	defer cancel()
	var mu sync.Mutex
	var quiet, during []time.Duration
	from, to := time.Duration(0), time.Duration(0)
	bad := 0
	began := time.Now()
	all := b.load(ctx, addr, 16, 5*time.Millisecond, func(at, took time.Duration, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !ok:
			bad++
		case at < time.Second: // connections settle
		case from == 0:
			quiet = append(quiet, took)
		case to == 0:
			during = append(during, took)
		}
	})
	time.Sleep(b.each / 2)
	mu.Lock()
	from = time.Since(began)
	mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	// In a process of their own, so that what they compute delays no request that is looked at here.
	cmd := exec.Command(self, "as-storm", addr, fmt.Sprint(b.clients), filepath.Join(b.dir, "ca.pem"))
	cmd.Env, cmd.Stderr = append(os.Environ(), "GOMAXPROCS=3"), os.Stderr
	raw, err := cmd.Output()
	if err != nil {
		return err
	}
	var well, failed int
	if _, err := fmt.Sscan(string(raw), &well, &failed); err != nil {
		return err
	}
	mu.Lock()
	to = time.Since(began)
	mu.Unlock()
	all.Wait()
	st, err := status(sock)
	if err != nil {
		return err
	}
	p := func(all []time.Duration, part float64) time.Duration {
		if len(all) == 0 {
			return 0
		}
		slices.Sort(all)
		return all[int(part*float64(len(all)-1))].Round(10 * time.Microsecond)
	}
	fmt.Printf("storm: %d clients at once, %d through, %d not, in %v; requests in flight: p50 %v, p99 %v before (%d), p50 %v, p99 %v during (%d), ratio of p99 %.2f; %d not served\n",
		b.clients, well, failed, (to - from).Round(time.Millisecond), p(quiet, 0.5), p(quiet, 0.99), len(quiet), p(during, 0.5), p(during, 0.99), len(during),
		float64(p(during, 0.99))/float64(max(1, p(quiet, 0.99))), bad)
	fmt.Printf("  the node's own count: %d full, %d resumed, failures %v\n", st.Clients.Full.Count, st.Clients.Resumed.Count, st.Clients.Failures)
	return nil
}

// stormed is what the process of the storm does: so many clients make their handshakes at once, and send a request.
func stormed(addr, n, ca string) error {
	raw, err := os.ReadFile(ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(raw)
	clients, err := strconv.Atoi(n)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	var well, failed atomic.Int64
	for i := range clients {
		all.Go(func() {
			c, err := tls.DialWithDialer(&net.Dialer{Timeout: 20 * time.Second}, "tcp", addr, &tls.Config{RootCAs: pool})
			if err == nil {
				defer c.Close()
				if _, err = fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: s%d\r\n\r\n", i); err == nil {
					var resp *http.Response
					if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode != http.StatusOK {
						err = errors.New(resp.Status)
					}
				}
			}
			if err != nil {
				failed.Add(1)
			} else {
				well.Add(1)
			}
		})
	}
	all.Wait()
	fmt.Println(well.Load(), failed.Load())
	return nil
}

// Command bench sets the daemon, the middleware and httputil.ReverseProxy side by side on the same stub
// servers, over loopback: p50, p99 and CPU time per request, and their ratios pair by pair. It is no
// part of CI.
//
//	go build -o bin/ ./cmd/... && go run ./tools/bench -daemon bin/wayhold
//
// With -tls every subject speaks TLS 1.3 on both sides, by the same certificates; the middleware is left out then, since
// its listener is its host's.
//
// Every subject is a process of its own with one thread for Go code. The subjects take turns in each
// round, so that a drift of the machine meets all.
package main

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/pki"
	"cobaltward/middleware"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

const (
	stubs    = 8
	bodySize = 512
	settings = `{"position":0,"groupSize":1,"zone":"a",
"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"}],
"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"retryAfter":true},
"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`
)

func main() {
	if len(os.Args) > 1 && strings.HasPrefix(os.Args[1], "as-") {
		if err := child(os.Args[1], os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	var (
		daemons = flag.String("daemon", "bin/wayhold", "daemons to measure, with commas between")
		conns   = flag.String("conns", "8,64", "connections of clients, with commas between")
		rounds  = flag.Int("rounds", 5, "rounds")
		each    = flag.Duration("for", 2*time.Second, "how long each subject is loaded in a round")
		profile = flag.String("profile", "", "file for a CPU profile of the middleware, for go tool pprof")
		secured = flag.Bool("tls", false, "TLS on both sides")
		service = flag.Duration("service", time.Millisecond, "how long a stub server takes")
	)
	flag.Parse()
	if err := measure(strings.Split(*daemons, ","), strings.Split(*conns, ","), *rounds, *each, *service, *profile, *secured); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// subject is one process under load.
type subject struct {
	name string
	addr string
	cmd  *exec.Cmd
	rows map[string][]row // by number of connections
}

type row struct {
	p50, p99, cpu time.Duration
	rate          float64
	bad           int
}

func measure(daemons, conns []string, rounds int, each, service time.Duration, profile string, secured bool) error {
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if secured {
		if err := certify(dir); err != nil {
			return err
		}
		if err := os.Setenv(certsIn, dir); err != nil { // for all processes
			return err
		}
	}
	stub, addrs, err := spawn(exec.Command(self, "as-stubs", service.String()), stubs)
	if err != nil {
		return err
	}
	defer end(stub)
	config := filepath.Join(dir, "config.json")
	var members []string
	for i, a := range addrs {
		members = append(members, fmt.Sprintf(`{"id":"s%d","host_port":%q,"locality":"a","phase":"up"}`, i, a))
	}
	text := fmt.Sprintf(`{"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`,
		strings.Join(members, ","), settings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	var subjects []*subject
	add := func(name string, cmd *exec.Cmd) error {
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "GOMAXPROCS=1")
		cmd, addr, err := spawn(cmd, 1)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		subjects = append(subjects, &subject{name: name, addr: addr[0], cmd: cmd, rows: make(map[string][]row)})
		return nil
	}
	defer func() {
		for _, s := range subjects {
			end(s.cmd)
		}
	}()
	if err := add("proxy", exec.Command(self, append([]string{"as-proxy"}, addrs...)...)); err != nil {
		return err
	}
	for _, d := range daemons {
		cmd := exec.Command(d)
		if secured {
			cmd = exec.Command(d, "--config", filepath.Join(dir, "own.toml"))
		}
		if err := add(d, cmd); err != nil {
			return err
		}
	}
	if !secured {
		if err := add("middleware", exec.Command(self, "as-middleware", profile)); err != nil {
			return err
		}
	}
	var ids atomic.Int64
	for _, c := range conns {
		n, err := strconv.Atoi(c)
		if err != nil || n < 1 || n > 512 {
			return fmt.Errorf("conns: want 1 to 512, got %q", c)
		}
		for _, s := range subjects { // connections, thresholds and caches settle
			if _, err := load(s, n, each/2, &ids); err != nil {
				return err
			}
		}
		for round := range rounds {
			fmt.Fprintf(os.Stderr, "\r%d connections, round %d of %d ", n, round+1, rounds)
			for _, s := range subjects {
				r, err := load(s, n, each, &ids)
				if err != nil {
					return fmt.Errorf("%s: %w", s.name, err)
				}
				s.rows[c] = append(s.rows[c], r)
			}
		}
		fmt.Fprintln(os.Stderr)
		report(subjects, c)
	}
	return nil
}

// report prints medians, and medians of the ratios to the proxy round by round.
func report(subjects []*subject, conns string) {
	fmt.Printf("%s connections: subject, requests/s, p50, p99, CPU per request, not 200; ratios to proxy of p50, p99, CPU (min median max)\n", conns)
	base := subjects[0].rows[conns]
	for _, s := range subjects {
		rows := s.rows[conns]
		bad := 0
		ratio := func(of func(row) time.Duration) string {
			var all []float64
			for i, r := range rows {
				all = append(all, float64(of(r))/float64(of(base[i])))
			}
			slices.Sort(all)
			return fmt.Sprintf("%.2f %.2f %.2f", all[0], all[len(all)/2], all[len(all)-1])
		}
		median := func(of func(row) time.Duration) time.Duration {
			var all []time.Duration
			for _, r := range rows {
				all = append(all, of(r))
			}
			slices.Sort(all)
			return all[len(all)/2]
		}
		for _, r := range rows {
			bad += r.bad
		}
		p50, p99, cpu := func(r row) time.Duration { return r.p50 }, func(r row) time.Duration { return r.p99 }, func(r row) time.Duration { return r.cpu }
		fmt.Printf("  %-24s %7.0f  %8v %8v %8v  %d  | %s | %s | %s\n", s.name, rows[len(rows)/2].rate, median(p50).Round(time.Microsecond),
			median(p99).Round(time.Microsecond), median(cpu).Round(100*time.Nanosecond), bad, ratio(p50), ratio(p99), ratio(cpu))
	}
}

// load has n clients ask in turn, each waiting for its answer.
func load(s *subject, n int, d time.Duration, ids *atomic.Int64) (row, error) {
	before, err := cpu(s.cmd.Process.Pid)
	if err != nil {
		return row{}, err
	}
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		took  []time.Duration
		bad   int
		first error
	)
	began := time.Now()
	for range n {
		wg.Go(func() {
			mine, wrong, err := client(s.addr, began.Add(d), ids)
			mu.Lock()
			defer mu.Unlock()
			took, bad = append(took, mine...), bad+wrong
			if first == nil {
				first = err
			}
		})
	}
	wg.Wait()
	if first != nil {
		return row{}, first
	}
	after, err := cpu(s.cmd.Process.Pid)
	if err != nil {
		return row{}, err
	}
	slices.Sort(took)
	return row{
		p50: took[len(took)/2], p99: took[len(took)*99/100], cpu: (after - before) / time.Duration(len(took)),
		rate: float64(len(took)) / time.Since(began).Seconds(), bad: bad,
	}, nil
}

// client asks over one connection until the end.
func client(addr string, until time.Time, ids *atomic.Int64) (took []time.Duration, bad int, err error) {
	var c net.Conn
	if _, trust := certificates(); trust != nil {
		c, err = tls.Dial("tcp", addr, &tls.Config{RootCAs: trust})
	} else {
		c, err = net.Dial("tcp", addr)
	}
	if err != nil {
		return nil, 0, err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for time.Now().Before(until) {
		began := time.Now()
		if _, err := fmt.Fprintf(c, "GET /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r%016x\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n", ids.Add(1)); err != nil {
			return nil, 0, err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, 0, err
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return nil, 0, err
		}
		if resp.StatusCode != http.StatusOK || n != bodySize {
			bad++
		}
		took = append(took, time.Since(began))
	}
	if len(took) == 0 {
		return nil, 0, errors.New("not one request was answered")
	}
	return took, bad, nil
}

// cpu is the processor time that a process has used.
func cpu(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // 100 ticks a second
}

// spawn starts a process that prints or logs so many addresses, and returns them.
func spawn(cmd *exec.Cmd, n int) (*exec.Cmd, []string, error) {
	errs, err := cmd.StderrPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	lines := bufio.NewScanner(errs)
	var addrs []string
	for len(addrs) < n && lines.Scan() {
		if _, after, ok := strings.Cut(lines.Text(), "address="); ok {
			addr, _, _ := strings.Cut(after, " ")
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) < n {
		end(cmd)
		return nil, nil, errors.New("it did not start")
	}
	go func() { _, _ = io.Copy(io.Discard, errs) }() // ends with the process
	return cmd, addrs, nil
}

// end ends a process: in order if it does so within a moment, since one may have a profile to write.
func end(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(200*time.Millisecond, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait()
}

// child is what this program does as one of the processes.
func child(as string, args []string) error {
	switch as {
	case "as-stubs":
		return serveStubs(args[0])
	case "as-proxy":
		return serveProxy(args)
	case "as-middleware":
		return serveMiddleware(args[0])
	}
	return fmt.Errorf("unknown part %q", as)
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		fmt.Fprintf(os.Stderr, "address=%s\n", ln.Addr())
		if own, _ := certificates(); own != nil {
			ln = tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{*own}, NextProtos: []string{"http/1.1"}})
		}
	}
	return ln, err
}

// serveStubs runs the servers: each answers after a while, and costs as little as it can.
func serveStubs(service string) error {
	d, err := time.ParseDuration(service)
	if err != nil {
		return err
	}
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", bodySize, strings.Repeat("x", bodySize)))
	for range stubs {
		ln, err := listen()
		if err != nil {
			return err
		}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					in := bufio.NewReader(c)
					for {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						time.Sleep(d)
						if _, err := c.Write(answer); err != nil {
							return
						}
					}
				}()
			}
		}()
	}
	select {}
}

func serveProxy(addrs []string) error {
	var next atomic.Uint64
	scheme, conf := "http", (*tls.Config)(nil)
	if _, trust := certificates(); trust != nil {
		scheme, conf = "https", &tls.Config{RootCAs: trust}
	}
	proxy := &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true, TLSClientConfig: conf},
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: scheme, Host: addrs[next.Add(1)%uint64(len(addrs))]})
		},
	}
	ln, err := listen()
	if err != nil {
		return err
	}
	return http.Serve(ln, proxy)
}

// serveMiddleware is an application with the middleware in it.
func serveMiddleware(profile string) error {
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	r, err := router.New(router.Config{Settings: c.Settings, Endpoints: c.InitialList.Endpoints, Seed: c.Seed},
		router.WithTransport(http1.New(http1.Config{ConnectTimeout: c.ConnectTimeout})),
		router.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		return err
	}
	defer r.Close()
	ln, err := listen()
	if err != nil {
		return err
	}
	if profile != "" {
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		term := make(chan os.Signal, 1)
		signal.Notify(term, syscall.SIGTERM)
		go func() {
			<-term
			pprof.StopCPUProfile()
			os.Exit(0)
		}()
	}
	return http.Serve(ln, middleware.New(r).Handler(http.NotFoundHandler()))
}

// certsIn names the directory of the certificates that all processes go by; unset: none speaks TLS.
const certsIn = "BENCH_CERTIFICATES"

// certify writes them, and the daemon's own file.
func certify(dir string) error {
	ca := pki.Year("bench")
	p := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	own := "[tls]\n[[tls.servers]]\ntrust = \"ca.pem\"\n[tls.clients]\ncert = \"cert.pem\"\nkey = \"key.pem\"\n"
	for name, text := range map[string][]byte{"cert.pem": pki.PEM(p.Cert), "key.pem": p.KeyPEM(), "ca.pem": ca.PEM(), "own.toml": []byte(own)} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// certificates are those of certsIn.
var certificates = sync.OnceValues(func() (*tls.Certificate, *x509.CertPool) {
	dir := os.Getenv(certsIn)
	if dir == "" {
		return nil, nil
	}
	own, err := tls.LoadX509KeyPair(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	if err != nil {
		panic(err) // this program wrote them
	}
	raw, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		panic(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(raw)
	return &own, pool
})

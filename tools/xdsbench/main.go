// Command xdsbench measures a node's xDS over the wire, against the stand-in control plane in a process of
// its own:
//
//	go run ./tools/xdsbench -flood              # p99 of requests during a flood of updates over that without
//	go run ./tools/xdsbench -sizes 100,1000     # from push to applied, CPU and allocations of the node
package main

import (
	"bufio"
	"context"
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
	"syscall"
	"time"

	"cobaltward/discovery/xds"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

func main() {
	floods := flag.Bool("flood", false, "measure the latency of requests during a flood")
	sizes := flag.String("sizes", "", "numbers of endpoints to measure updates at")
	rounds := flag.Int("rounds", 5, "of the flood, or updates at each size")
	procs := flag.Int("procs", 0, "cores of the node; 0: all")
	flag.Parse()
	if *procs > 0 {
		runtime.GOMAXPROCS(*procs)
	}
	if err := run(*floods, *sizes, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "xdsbench:", err)
		os.Exit(1)
	}
}

func run(floods bool, sizes string, rounds int) error {
	dir, err := os.MkdirTemp("", "xdsbench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin := filepath.Join(dir, "xds-standin")
	if out, err := exec.Command("go", "build", "-o", bin, "./cmd/xds-standin").CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	if floods {
		if err := flood(bin, rounds); err != nil {
			return err
		}
	}
	for _, text := range strings.FieldsFunc(sizes, func(c rune) bool { return c == ',' }) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("-sizes: %w", err)
		}
		for _, delta := range []bool{false, true} {
			for _, per := range []int{n, 100} {
				if err := updates(bin, n, per, delta, rounds); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// plane is the stand-in in a process of its own.
type plane struct {
	addr  string
	cmd   *exec.Cmd
	lines chan string
}

func start(bin, script string) (*plane, error) {
	p := &plane{cmd: exec.Command(bin, "-"), lines: make(chan string, 1<<16)}
	p.cmd.Stdin, p.cmd.Stderr = strings.NewReader(script), os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			p.lines <- in.Text()
		}
	}()
	addr, err := p.await("listening ")
	p.addr = addr
	return p, err
}

// await reads on to the next line that begins so, or has it behind its time, and returns the rest.
func (p *plane) await(what string) (string, error) {
	for line := range p.lines {
		if _, rest, ok := strings.Cut(line, what); ok {
			return rest, nil
		}
	}
	return "", fmt.Errorf("the stand-in ended before %q", what)
}

func (p *plane) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	_ = p.cmd.Wait()
}

// node is a router over the source, with a count of what the source told.
func node(addr string, delta bool) (*router.Router, *told, error) {
	source, err := xds.New(xds.Config{Servers: []xds.Server{{Addr: addr}}, Node: &xdspb.Node{Id: "bench"}, Delta: delta})
	if err != nil {
		return nil, nil, err
	}
	t := &told{EndpointSource: source, changes: make(chan time.Time, 1<<12)}
	r, err := router.New(router.Config{Settings: policy.Settings{
		Nodes: 1, Zone: "a",
		Classes:      []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.Idempotent}},
		Capabilities: policy.Capabilities{MaxAttempts: 3}, Rules: policy.Rules{DrainGrace: 500 * time.Millisecond},
	}},
		router.WithEndpointSource(t), router.WithTransport(http1.New(http1.Config{})))
	t.router = r
	return r, t, err
}

// told notes when the router had each change in force.
type told struct {
	router.EndpointSource
	router  *router.Router
	changes chan time.Time
}

func (t *told) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	t.EndpointSource.Run(ctx, func(c router.EndpointUpdate) {
		tell(c)
		t.router.Stats() // comes back once the change is in
		t.changes <- time.Now()
	})
}

func flood(bin string, rounds int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	app := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	var serving sync.WaitGroup
	serving.Go(func() { _ = app.Serve(ln) })
	defer func() { _ = app.Close(); serving.Wait() }()
	script := "cluster rooms\ncluster flood\nendpoints rooms " + ln.Addr().String() + "\nmany flood 1000 1001 DRAINING\npush\nexpect acks 2 within 10s\n"
	for range rounds {
		script += "wait 2s\nflood flood 1000 20 2s DRAINING\n" // 20,000 endpoints a second
	}
	p, err := start(bin, script)
	if err != nil {
		return err
	}
	defer p.stop()
	r, t, err := node(p.addr, true)
	if err != nil {
		return err
	}
	defer r.Close()
	go func() {
		for range t.changes { // nobody asks
		}
	}()
	phases := make(chan string, 2*rounds+2)
	go func() {
		defer close(phases)
		for line := range p.lines {
			for _, what := range []string{": wait", ": flood", "done"} {
				if strings.Contains(line, what) {
					phases <- what
				}
			}
		}
	}()
	var took []time.Duration
	var calm time.Duration
	var ratios []float64
	phase, ids := "", 0
	for {
		select {
		case next, ok := <-phases:
			if p99 := quantile(took, 0.99); phase == ": wait" {
				calm = p99
			} else if phase == ": flood" {
				ratios = append(ratios, float64(p99)/float64(calm))
				fmt.Printf("p99 %v without updates, %v with; median %v with, %d requests\n", calm, p99, quantile(took, 0.5), len(took))
			}
			phase, took = next, nil
			if !ok || next == "done" {
				slices.Sort(ratios)
				fmt.Printf("ratios %.2f, median %.2f\n", ratios, ratios[len(ratios)/2])
				return nil
			}
		default:
		}
		ids++
		began := time.Now()
		if _, err := r.Do(context.Background(), router.Request{ID: fmt.Sprint(ids), Class: "read", Tenant: "t", Target: "/"}); err != nil {
			return err
		}
		took = append(took, time.Since(began))
		time.Sleep(500 * time.Microsecond)
	}
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[int(q*float64(len(all)-1))]
}

// updates measures changes of one endpoint among n, in clusters of so many.
func updates(bin string, n, per int, delta bool, rounds int) error {
	var script strings.Builder
	clusters := max(1, n/per)
	for i := range clusters {
		fmt.Fprintf(&script, "cluster c%d\nmany c%d %d %d\n", i, i, per, 1000+i)
	}
	fmt.Fprintf(&script, "push\nexpect acks 2 within 60s\nwait 1s\n")
	for i := range rounds {
		fmt.Fprintf(&script, "many c0 %d 1000%s\npush\nwait 500ms\n", per-i%2, "")
	}
	p, err := start(bin, script.String())
	if err != nil {
		return err
	}
	defer p.stop()
	if _, err := p.await("pushed "); err != nil {
		return err
	}
	r, t, err := node(p.addr, delta)
	if err != nil {
		return err
	}
	defer r.Close()
	if _, err := p.await(": wait 1s"); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	for len(t.changes) > 0 {
		<-t.changes
	}
	var took []time.Duration
	var cpu time.Duration
	var allocs uint64
	for i := range rounds {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := usage()
		at, err := p.await("pushed ")
		if err != nil {
			return err
		}
		if i == 0 {
			continue // it has all its endpoints still: nothing changes
		}
		nano, err := strconv.ParseInt(at, 10, 64)
		if err != nil {
			return err
		}
		took = append(took, (<-t.changes).Sub(time.Unix(0, nano)))
		cpu += usage() - began
		runtime.ReadMemStats(&after)
		allocs += after.Mallocs - before.Mallocs
	}
	form := "sotw"
	if delta {
		form = "delta"
	}
	counted := time.Duration(len(took))
	fmt.Printf("%6d endpoints, %s, %6d in the cluster that changes: push to applied median %v, most %v; CPU %v, %d allocations an update\n",
		n, form, per, quantile(took, 0.5).Round(10*time.Microsecond), quantile(took, 1).Round(10*time.Microsecond),
		(cpu / counted).Round(10*time.Microsecond), allocs/uint64(counted))
	return nil
}

// usage is the CPU time of this process.
func usage() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

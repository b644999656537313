// Command rpcbench sets a node that speaks MessagePack-RPC on both sides beside one that speaks HTTP/1.1, in
// one run: CPU and allocations a call of the node alone, which is a process of its own on one core, and the
// callers' latency.
//
//	go run ./tools/rpcbench -for 1s -rounds 3
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/middleware"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	msgpackfront "cobaltward/internal/frontend/msgpack"
	msgpacktransport "cobaltward/transport/msgpack"
)

const stubs = 32

func main() {
	role := flag.String("node", "", "run as the node, of this protocol (used by itself)")
	length := flag.Duration("for", time.Second, "of each measurement")
	rounds := flag.Int("rounds", 3, "of which the median is told")
	flights := flag.String("flights", "1,16,64,256,1000", "calls at once")
	bodies := flag.String("bodies", "100,4096,65536", "bytes of a body")
	memory := flag.Bool("memory", false, "measure memory a connection and a call instead")
	profile := flag.String("profile", "", "a file for the CPU profile of the node by MessagePack-RPC")
	flag.Parse()
	var err error
	if *role != "" {
		err = node(*role, *profile)
	} else if *memory {
		err = weigh()
	} else {
		err = run(*length, *rounds, numbers(*flights), numbers(*bodies), *profile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rpcbench:", err)
		os.Exit(1)
	}
}

func numbers(text string) (all []int) {
	for s := range strings.SplitSeq(text, ",") {
		if n, err := strconv.Atoi(s); err == nil {
			all = append(all, n)
		}
	}
	return all
}

// usage is what a node tells of itself.
type usage struct {
	CPU    time.Duration
	Allocs uint64
	Heap   uint64
}

// node runs a router with a front and a transport of one protocol. It reads the servers' addresses from its
// first line, prints its own, and its usage for each line more.
func node(protocol, profile string) error {
	runtime.GOMAXPROCS(1)
	in := bufio.NewScanner(os.Stdin)
	in.Scan()
	var members []router.Endpoint
	for i, addr := range strings.Fields(in.Text()) {
		members = append(members, router.Endpoint{ID: fmt.Sprintf("s%02d", i), Addr: addr, Weight: 1})
	}
	var transport router.Transport = http1.New(http1.Config{MaxConns: 4000})
	if protocol == "msgpack" {
		transport.Close()
		transport = msgpacktransport.New(msgpacktransport.Config{})
	}
	r, err := router.New(router.Config{Endpoints: members, Settings: policy.Settings{
		Nodes: 1, Capabilities: policy.Capabilities{MaxAttempts: 2, Cancel: true},
		Classes: []policy.Class{{Name: "pay", LatencyObjective: 10 * time.Second, Deadline: 10 * time.Second}},
	}}, router.WithTransport(transport))
	if err != nil {
		return err
	}
	defer r.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if protocol == "msgpack" {
		go msgpackfront.New(r, msgpackfront.Config{MaxCalls: 1000, MaxConns: 2000, IdleTimeout: time.Minute}).Serve(ln)
	} else {
		go http.Serve(ln, middleware.New(r, middleware.WithMatcher(middleware.Any)))
	}
	if profile != "" && protocol == "msgpack" {
		f, err := os.Create(profile)
		if err != nil {
			return err
		}
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	fmt.Println(ln.Addr())
	out := json.NewEncoder(os.Stdout)
	for in.Scan() {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			return err
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		if err := out.Encode(usage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs, m.HeapInuse + m.StackInuse}); err != nil {
			return err
		}
	}
	return nil
}

// child is a node in a process of its own.
type child struct {
	addr string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
}

func start(protocol, profile string, servers []string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, "-node", protocol, "-profile", profile)}
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	c.out = bufio.NewReader(out)
	fmt.Fprintln(c.in, strings.Join(servers, " "))
	c.addr, err = c.out.ReadString('\n')
	c.addr = strings.TrimSpace(c.addr)
	return c, err
}

func (c *child) usage() (u usage, err error) {
	if _, err := fmt.Fprintln(c.in); err != nil {
		return u, err
	}
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return u, err
	}
	return u, json.Unmarshal(line, &u)
}

func (c *child) stop() {
	c.in.Close()
	_ = c.cmd.Wait() // its end is all that counts
}

// listen starts the servers of one protocol, which answer at once.
func listen(serve func(net.Conn)) ([]string, error) {
	var addrs []string
	for range stubs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
	}
	return addrs, nil
}

func serveHTTP(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 8<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func serveMsgpack(c net.Conn) {
	defer c.Close()
	in := msgpackrpc.NewReader(c)
	reply := msgpackrpc.Reply{Body: []byte("ok")}
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		m, err := msgpackrpc.Parse(raw)
		if err != nil || m.Kind != msgpackrpc.Request {
			continue
		}
		if _, err := c.Write(msgpackrpc.AppendReply(nil, m.ID, &reply)); err != nil {
			return
		}
	}
}

// ask makes one call; nil is served.
type ask func(id string, body []byte) error

func askHTTP(addr string, conns int) (ask, func()) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, DisableCompression: true}}
	return func(id string, body []byte) error {
		req, err := http.NewRequest("POST", "http://"+addr+"/api", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header = http.Header{"X-Request-Id": {id}, "X-Class": {"pay"}, "X-Tenant": {"t"}, "X-Deadline-Ms": {"9000"}}
		resp, err := c.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	}, c.CloseIdleConnections
}

func askMsgpack(addr string, conns int) (ask, func()) {
	all := make([]*client.Client, conns)
	for i := range all {
		all[i] = client.New("tcp", addr)
	}
	var next atomic.Uint64
	return func(id string, body []byte) error {
			q := msgpackrpc.Call{ID: id, Class: "pay", Tenant: "t", Timeout: 9 * time.Second, Target: "/api", Body: body}
			r, err := all[next.Add(1)%uint64(conns)].Call(context.Background(), q)
			if err == nil && r.Code != "" {
				err = fmt.Errorf("%s %s", r.Code, r.Text)
			}
			return err
		}, func() {
			for _, c := range all {
				c.Close()
			}
		}
}

type figures struct {
	cpu, allocs, rate float64 // µs and allocations a call, calls a second
	p50, p99          time.Duration
	bad               int
}

var ids atomic.Uint64

func measure(c *child, call ask, flights, size int, length time.Duration) (f figures, err error) {
	body := make([]byte, size)
	var all sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	load := func(length time.Duration, keep bool) {
		end := time.Now().Add(length)
		for range flights {
			all.Go(func() {
				var own []time.Duration
				bad := 0
				for time.Now().Before(end) {
					began := time.Now()
					if call(strconv.FormatUint(ids.Add(1), 36), body) != nil {
						bad++
					}
					own = append(own, time.Since(began))
				}
				mu.Lock()
				defer mu.Unlock()
				if keep {
					took = append(took, own...)
					f.bad += bad
				}
			})
		}
		all.Wait()
	}
	load(length/4, false)
	before, err := c.usage()
	if err != nil {
		return f, err
	}
	began := time.Now()
	load(length, true)
	lasted := time.Since(began)
	after, err := c.usage()
	if err != nil {
		return f, err
	}
	slices.Sort(took)
	n := float64(len(took))
	f.cpu = float64((after.CPU - before.CPU).Microseconds()) / n
	f.allocs = float64(after.Allocs-before.Allocs) / n
	f.rate = n / lasted.Seconds()
	f.p50, f.p99 = took[len(took)/2], took[len(took)*99/100]
	return f, nil
}

// weigh tells what a connection without a call, and a call in flight, hold of a node's memory.
func weigh() error {
	servers, err := listen(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // they never answer
	if err != nil {
		return err
	}
	c, err := start("msgpack", "", servers)
	if err != nil {
		return err
	}
	defer c.stop()
	const n = 1000
	var held [3]uint64
	conns := make([]net.Conn, n)
	for i := range held {
		switch i {
		case 1:
			for j := range conns {
				if conns[j], err = net.Dial("tcp", c.addr); err != nil {
					return err
				}
				defer conns[j].Close()
			}
		case 2:
			for j := range 200 { // one call on each: more would be held by the module
				q := msgpackrpc.Call{ID: fmt.Sprint("m", j), Class: "pay", Tenant: "t", Timeout: 9 * time.Second, Target: "/", Body: make([]byte, 100)}
				if _, err := conns[j].Write(msgpackrpc.AppendCall(nil, 1, &q)); err != nil {
					return err
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
		u, err := c.usage()
		if err != nil {
			return err
		}
		held[i] = u.Heap
	}
	fmt.Printf("%.1f KB a connection without a call, %.1f KB a call in flight on one of its own\n",
		float64(held[1]-held[0])/n/1024, float64(held[2]-held[1])/200/1024)
	return nil
}

func run(length time.Duration, rounds int, flights, bodies []int, profile string) error {
	web, err := listen(serveHTTP)
	if err != nil {
		return err
	}
	rpc, err := listen(serveMsgpack)
	if err != nil {
		return err
	}
	fmt.Println("in flight  body    | HTTP: µs CPU, allocs, calls/s, p50, p99 | RPC, 1 connection | RPC, 16 connections | CPU ratio 1, 16")
	for _, size := range bodies {
		for _, n := range flights {
			rows := make([][]figures, 3)
			for range rounds {
				for i, subject := range []struct {
					protocol string
					servers  []string
					conns    int
				}{{"http", web, n}, {"msgpack", rpc, 1}, {"msgpack", rpc, 16}} {
					c, err := start(subject.protocol, profile, subject.servers)
					if err != nil {
						return err
					}
					make := askMsgpack
					if subject.protocol == "http" {
						make = askHTTP
					}
					call, end := make(c.addr, subject.conns)
					f, err := measure(c, call, n, size, length)
					end()
					c.stop()
					if err != nil {
						return err
					}
					rows[i] = append(rows[i], f)
				}
			}
			line := fmt.Sprintf("%9d %6d ", n, size)
			var cpu [3]float64
			for i, all := range rows {
				slices.SortFunc(all, func(a, b figures) int { return int(1000 * (a.cpu - b.cpu)) })
				f := all[len(all)/2]
				cpu[i] = f.cpu
				line += fmt.Sprintf("| %5.1f %5.1f %6.0f %7v %8v", f.cpu, f.allocs, f.rate, f.p50.Round(10*time.Microsecond), f.p99.Round(10*time.Microsecond))
				if f.bad > 0 {
					line += fmt.Sprintf(" (%d not served)", f.bad)
				}
			}
			fmt.Printf("%s | %.2f %.2f\n", line, cpu[1]/cpu[0], cpu[2]/cpu[0])
		}
	}
	return nil
}

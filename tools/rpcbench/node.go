package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	msgpackfront "cobaltward/internal/frontend/msgpack"
	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/tools/internal/benchkit"
	"cobaltward/transport/http1"
	msgpacktransport "cobaltward/transport/msgpack"
)

// usage is what a node reports of its process, in JSON.
type usage struct {
	CPU    time.Duration
	Allocs uint64
	Heap   uint64 // bytes in use by the heap and the stacks, after a collection
}

// runNode runs a router with a frontend and a transport of one protocol. It reads the servers' addresses from its
// first line, prints its own, and its usage for each further line, until its input ends.
func runNode(protocol, profile string) (err error) {
	runtime.GOMAXPROCS(1)
	in := bufio.NewScanner(os.Stdin)
	in.Scan()
	engine, err := newRouter(protocol, strings.Fields(in.Text()))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, engine.Close()) }()
	ln, err := benchkit.ListenLoopback()
	if err != nil {
		return err
	}
	go serveProtocol(protocol, engine, ln) // ends with the process
	if profile != "" && protocol == protocolMsgpack {
		stop, err := benchkit.StartCPUProfile(profile)
		if err != nil {
			return err
		}
		defer func() { _ = stop() }()
	}
	fmt.Println(ln.Addr())
	out := json.NewEncoder(os.Stdout)
	for in.Scan() {
		own, err := readUsage()
		if err != nil {
			return err
		}
		if err := out.Encode(own); err != nil {
			return err
		}
	}
	return nil
}

func newRouter(protocol string, servers []string) (*router.Router, error) {
	var endpoints []router.Endpoint
	for i, addr := range servers {
		endpoints = append(endpoints, router.Endpoint{ID: fmt.Sprintf("s%02d", i), Addr: addr, Weight: 1})
	}
	var transport router.Transport
	if protocol == protocolMsgpack {
		transport = msgpacktransport.New(msgpacktransport.Config{})
	} else {
		transport = http1.New(http1.Config{MaxConns: 4000})
	}
	return router.New(router.Config{Endpoints: endpoints, Settings: policy.Settings{
		Nodes: 1, Capabilities: policy.Capabilities{MaxAttempts: 2, Cancel: true},
		Classes: []policy.Class{{Name: "pay", LatencyObjective: 10 * time.Second, Deadline: 10 * time.Second}},
	}}, router.WithTransport(transport))
}

func serveProtocol(protocol string, engine *router.Router, ln net.Listener) {
	var err error
	if protocol == protocolMsgpack {
		config := msgpackfront.Config{MaxCalls: 1000, MaxConns: 2000, IdleTimeout: time.Minute}
		err = msgpackfront.New(engine, config).Serve(ln)
	} else {
		err = http.Serve(ln, middleware.New(engine, middleware.WithMatcher(middleware.Any)))
	}
	fmt.Fprintln(os.Stderr, "rpcbench: node stopped serving:", err)
}

// readUsage reads the CPU time before it collects garbage, so that the collection is not counted.
func readUsage() (usage, error) {
	cpu, err := benchkit.CPUTime()
	if err != nil {
		return usage{}, err
	}
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{CPU: cpu, Allocs: stats.Mallocs, Heap: stats.HeapInuse + stats.StackInuse}, nil
}

// nodeProcess is a node in a process of its own.
type nodeProcess struct {
	addr string
	cmd  *exec.Cmd
	in   io.WriteCloser
	out  *bufio.Reader
}

func startNode(protocol, profile string, servers []string) (*nodeProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	node := &nodeProcess{cmd: exec.Command(self, "-node", protocol, "-profile", profile)}
	node.cmd.Stderr = os.Stderr
	if node.in, err = node.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := node.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := node.cmd.Start(); err != nil {
		return nil, err
	}
	node.out = bufio.NewReader(out)
	if _, err := fmt.Fprintln(node.in, strings.Join(servers, " ")); err != nil {
		node.stop()
		return nil, err
	}
	addr, err := node.out.ReadString('\n')
	if err != nil {
		node.stop()
		return nil, fmt.Errorf("node announced no address: %w", err)
	}
	node.addr = strings.TrimSpace(addr)
	return node, nil
}

func (n *nodeProcess) usage() (own usage, err error) {
	if _, err := fmt.Fprintln(n.in); err != nil {
		return own, err
	}
	line, err := n.out.ReadBytes('\n')
	if err != nil {
		return own, err
	}
	return own, json.Unmarshal(line, &own)
}

// stop ends the node by ending its input.
func (n *nodeProcess) stop() {
	_ = n.in.Close()
	_ = n.cmd.Wait() // whatever its status
}

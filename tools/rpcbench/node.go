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

// usage is the resource usage of a node's process, which the node reports as JSON.
type usage struct {
	CPU    time.Duration
	Allocs uint64
	Heap   uint64 // bytes in use by the heap and the stacks after a garbage collection
}

// runNode is the main function of the node's process. The node is a router whose frontend and transport use the same
// protocol. runNode reads the servers' addresses from the first line of standard input, and prints the node's
// address. It prints the usage of the process for each further line until the input ends. With MessagePack-RPC, a
// non-empty profile is the file for a CPU profile.
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
	go serveProtocol(protocol, engine, ln) // runs until the process exits
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
		current, err := readUsage()
		if err != nil {
			return err
		}
		if err := out.Encode(current); err != nil {
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

// readUsage returns the usage of this process. It reads the CPU time before it collects garbage, so that the CPU time
// does not include the collection.
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

// nodeProcess is a node that runs as a child process.
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
		return nil, fmt.Errorf("node exited before it printed its address: %w", err)
	}
	node.addr = strings.TrimSpace(addr)
	return node, nil
}

func (n *nodeProcess) usage() (reported usage, err error) {
	if _, err := fmt.Fprintln(n.in); err != nil {
		return reported, err
	}
	line, err := n.out.ReadBytes('\n')
	if err != nil {
		return reported, err
	}
	return reported, json.Unmarshal(line, &reported)
}

// stop closes the node's input, which makes the node exit, and waits for the exit.
func (n *nodeProcess) stop() {
	_ = n.in.Close()
	_ = n.cmd.Wait() // the exit status doesn't matter
}

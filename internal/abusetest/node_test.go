package abusetest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"

	"golang.org/x/sys/unix"
)

const megabyte = 1 << 20

// The smallest and the largest memory limit of a node, and the largest number of descriptors, that the operators'
// pages name.
const (
	smallMemoryMB  = 32
	largeMemoryMB  = 192
	maxDescriptors = 1024
)

// nodeBinary builds the node once, as the deploy file does, and returns the path of the binary. The race detector is
// off, because it would multiply the node's usage of CPU and memory.
var nodeBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binaryDir, "wayhold")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "cobaltward/cmd/wayhold")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return path, nil
})

// binaryDir is the directory of the binary that nodeBinary builds.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	var err error
	if binaryDir, err = os.MkdirTemp("", "abusetest"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(binaryDir) }()
	return m.Run()
}

// nodeConfig is the configuration of a node under test.
type nodeConfig struct {
	memoryMB    int
	descriptors int
	servers     []string      // addresses of the servers
	deadline    time.Duration // deadline of every class; 0: defaultDeadline
	tls         bool          // whether clients connect by TLS
	msgpack     bool          // whether the node also accepts MessagePack-RPC
}

const defaultDeadline = 3 * time.Second

// maxStarts is the maximum number of attempts to start a node whose port another program has taken.
const maxStarts = 5

// node is a node process that runs until the test ends.
type node struct {
	t           testing.TB
	config      nodeConfig
	command     *exec.Cmd
	addr        string // address for HTTP clients
	msgpackAddr string // address for MessagePack-RPC clients; empty: none
	logPath     string
	exited      chan struct{}
}

// startNode starts a node and waits until it is ready.
func startNode(t testing.TB, config nodeConfig) *node {
	t.Helper()
	binary, err := nodeBinary()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	n := &node{t: t, config: config, logPath: filepath.Join(dir, "log")}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, n.configJSON(startRegistry(t, config.servers)), 0o600); err != nil {
		t.Fatal(err)
	}
	n.startProcess(binary, dir, configPath)
	for starts := 1; !n.awaitListening(); starts++ {
		if starts == maxStarts {
			t.Fatalf("the node has exited:\n%s", n.log())
		}
		n.startProcess(binary, dir, configPath)
	}
	testkit.Await(t, "the node to be ready", func() bool { return n.ask(readyRequest) == nil })
	return n
}

// startProcess starts the process of the node, with its files in dir.
func (n *node) startProcess(binary, dir, configPath string) {
	n.t.Helper()
	log, err := os.Create(n.logPath)
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own copy of the descriptor
	n.command = exec.Command(binary, "serve", "--config", n.writeOperatorFile(dir))
	n.command.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "TMPDIR="+dir)
	n.command.Stderr = log
	start := n.command.Start
	if *pinned {
		start = func() error { return startOnOneCore(n.command) }
	}
	if err := start(); err != nil {
		n.t.Fatal(err)
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	go func() {
		_ = command.Wait() // tests look at exited
		close(exited)
	}()
	n.t.Cleanup(n.kill)
}

// awaitListening waits until the node listens. It returns false if another program has taken the node's port since
// freeAddr found it free.
func (n *node) awaitListening() bool {
	n.t.Helper()
	testkit.Await(n.t, "the node to listen", func() bool { return n.readAddr() || !n.running() })
	if n.running() || n.readAddr() {
		return true
	}
	if !strings.Contains(n.log(), syscall.EADDRINUSE.Error()) {
		n.t.Fatalf("the node has exited:\n%s", n.log())
	}
	return false
}

// startOnOneCore starts command on one of the cores that this process may use.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread() // the child inherits the affinity of this thread
	defer runtime.UnlockOSThread()
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	coreMu.Lock()
	cores := allowed.Count()
	nth := nextCore % cores
	nextCore++
	coreMu.Unlock()
	for core := 0; ; core++ {
		if !allowed.IsSet(core) {
			continue
		}
		if nth == 0 {
			one.Set(core)
			break
		}
		nth--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	return errors.Join(command.Start(), unix.SchedSetaffinity(0, &allowed))
}

var (
	coreMu   sync.Mutex
	nextCore int // number of the core for the next node
)

// configJSON returns the platform's configuration of the node.
func (n *node) configJSON(registry string) []byte {
	type object = map[string]any
	deadline := int64(defaultDeadline / time.Millisecond)
	if n.config.deadline > 0 {
		deadline = n.config.deadline.Milliseconds()
	}
	var members []object
	for i, addr := range n.config.servers {
		members = append(members, member(i, addr))
	}
	class := func(name, repeat string) object {
		return object{
			"name": name, "repeat": repeat, "deadline": deadline, "aim": deadline, "value": 1, "window": 4000, "group": "all",
		}
	}
	raw, err := json.Marshal(object{
		"name": "n", "listen": "127.0.0.1:0", "discovery": registry, "seed": "1",
		"limits": object{"cores": 1, "memory_mb": n.config.memoryMB, "sockets": n.config.descriptors},
		"known":  object{"revision": 1, "complete": true, "members": members},
		"settings": object{
			"position": 0, "groupSize": 1, "zone": "a", "localities": []string{"a"}, "kinds": []string{"k"},
			"services": []object{
				class(searchClass, "free"), class(bookingClass, "single_shot"), class(cancelClass, "guarded"),
			},
			"tenants": []object{{"name": "t", "quotaRps": 100000, "fraction": 1}},
			"limits": object{
				"cancelling": true, "connIdle": 60000, "connectTimeout": 250, "maxAttempts": 5, "maxOpen": 20000,
				"maxRetryAfter": 2000, "retryAfter": true, "secondCopies": true, "streamsPerConn": 1,
			},
			"guarantees": object{
				"cold": 8400, "coldShare": 0.34, "drainGrace": 500, "fallMultiple": 3, "graceToAnswer": 20, "overloadFor": 1000,
			},
		},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	return raw
}

// readAddr reads the node's address from its log, and reports whether the log contains it.
func (n *node) readAddr() (found bool) {
	_, rest, found := strings.Cut(n.log(), "msg=listening")
	if !found {
		return false
	}
	_, rest, _ = strings.Cut(rest, "address=")
	n.addr, _, found = strings.Cut(rest, " ")
	return found
}

func (n *node) log() string {
	raw, _ := os.ReadFile(n.logPath) // a missing log is empty
	return string(raw)
}

// running reports whether the process has not exited.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.running() {
		_ = n.command.Process.Signal(syscall.SIGKILL) // fails if the process has just exited
		<-n.exited
	}
}

// peakMemory returns the maximum resident memory of the process so far, in bytes.
func (n *node) peakMemory() int64 {
	n.t.Helper()
	return n.statusField("VmHWM:") << 10
}

// statusField returns the number behind name in /proc/PID/status.
func (n *node) statusField(name string) int64 {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		n.t.Fatalf("the node has ended: %v\n%s", err, n.log())
	}
	_, rest, _ := strings.Cut(string(status), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		n.t.Fatalf("the node has ended: no %s\n%s", name, n.log())
	}
	value, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		n.t.Fatal(err)
	}
	return value
}

// checkMemory reports an error if the process has exited or its memory has exceeded the limit of its configuration.
func (n *node) checkMemory() {
	n.t.Helper()
	if !n.running() {
		n.t.Errorf("the node has exited:\n%s", n.log())
		return
	}
	peak, limit := n.peakMemory(), int64(n.config.memoryMB)*megabyte
	n.t.Logf("peak memory %.1f MB of %d MB", float64(peak)/megabyte, n.config.memoryMB)
	if peak > limit {
		n.t.Errorf("peak memory %.1f MB, want at most %d MB", float64(peak)/megabyte, n.config.memoryMB)
	}
}

package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

var growthFor = flag.Duration("soak.growth", 10*time.Second, "how long the nodes of two fleet sizes run")

// Numbers of servers and nodes in a fleet of the usual size and of the largest size.
const (
	usualServers, usualNodes     = 200, 300
	largestServers, largestNodes = 3200, 900
)

const (
	growthRate  = 20 // requests per second to each node
	growthSteps = 20 // number of steps in which half of the servers are replaced
	serviceTime = 20 * time.Millisecond
	kilobyte    = 1 << 10
	megabyte    = 1 << 20
)

// resourceUsage is the resource usage of a node in one run.
type resourceUsage struct {
	cpuSeconds, peakMemory, descriptors, connections, listBytes float64

	servedShare float64 // fraction of the requests that were served
}

// TestGrowth_ResourceUseIsBounded checks that the resource usage of a node grows only within bounds with the size of
// the fleet. The test compares a node in a fleet of the usual size with a node in the largest fleet. Both nodes have
// the same traffic, and half of their servers are replaced.
func TestGrowth_ResourceUseIsBounded(t *testing.T) {
	binary := buildNode(t)
	var usual, largest resourceUsage
	t.Run("sizes", func(t *testing.T) {
		t.Run("usual", func(t *testing.T) {
			t.Parallel()
			usual = runFleetNode(t, binary, usualServers, usualNodes)
		})
		t.Run("largest", func(t *testing.T) {
			t.Parallel()
			largest = runFleetNode(t, binary, largestServers, largestNodes)
		})
	})
	t.Logf("usual size %+v", usual)
	t.Logf("largest    %+v", largest)
	const thousands = largestServers / 1000.
	for _, bound := range []struct {
		what     string
		got, max float64
	}{
		{"CPU seconds", largest.cpuSeconds, 1.4*usual.cpuSeconds + 0.02 + 0.03*thousands},
		{"bytes of peak memory", largest.peakMemory, 1.5*usual.peakMemory + 8*megabyte + 4*megabyte*thousands},
		{"descriptors", largest.descriptors, 2*usual.descriptors + 40},
		{"connections made to servers", largest.connections, 2.5*usual.connections + 40},
		{"bytes of lists", largest.listBytes, 2*usual.listBytes + 64*kilobyte + 500*kilobyte*thousands},
		{"share not served", 1 - largest.servedShare, 1 - 0.85*usual.servedShare},
	} {
		if bound.got > bound.max {
			t.Errorf("%s: %v, want at most %v", bound.what, bound.got, bound.max)
		}
	}
}

// fleet has the servers of a fleet and its discovery service, which sends changes of the endpoint list.
type fleet struct {
	listeners   []net.Listener
	connections atomic.Int64
	listBytes   atomic.Int64

	mu      sync.Mutex
	changes []string // changed list entries in order; the entry at index i belongs to revision i+1
	changed chan struct{}
}

func (f *fleet) addServer(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(serviceTime)
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				f.connections.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(listener) }() // returns when the cleanup closes the server
	t.Cleanup(func() { _ = server.Close() })
	f.listeners = append(f.listeners, listener)
}

// publish adds a change to phase for each server with an index of at least from and less than to. started is the
// start time of these servers. The zero time means that these servers started before all other servers.
func (f *fleet) publish(from, to int, phase string, started time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := from; i < to; i++ {
		since := int64(0)
		if !started.IsZero() {
			since = started.UnixMilli()
		}
		f.changes = append(f.changes, fmt.Sprintf(`{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":%d,`+
			`"phase":%q,"size":1,"up_since_ms":%d}`, i, f.listeners[i].Addr(), i%10, phase, since))
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// list returns the changes after the revision since. If there are none, it returns a channel that is closed at the
// next change.
func (f *fleet) list(since int) (list string, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if since == len(f.changes) {
		return "", f.changed
	}
	const format = `{"revision":%d,"complete":%t,"members":[%s]}`
	return fmt.Sprintf(format, len(f.changes), since == 0, strings.Join(f.changes[since:], ",")), nil
}

func (f *fleet) serveList(w http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	list, changed := f.list(since)
	if changed != nil {
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		if list, changed = f.list(since); changed != nil {
			list = fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, since)
		}
	}
	n, _ := io.WriteString(w, list)
	f.listBytes.Add(int64(n))
}

// runFleetNode runs the program at the path binary as a node of a fleet with the given numbers of servers and nodes.
// It returns the resource usage of the node.
func runFleetNode(t *testing.T, binary string, servers, nodes int) (use resourceUsage) {
	t.Helper()
	stub := &fleet{changed: make(chan struct{})}
	for range servers + servers/2 {
		stub.addServer(t)
	}
	stub.publish(0, servers, "up", time.Time{})
	known, _ := stub.list(0)
	config := fmt.Sprintf(configFormat, testkit.HTTPServer(t, stub.serveList), 576, known, 1500)
	config = strings.Replace(config, `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, nodes), 1)
	node := startNode(t, exec.Command(binary, "serve"), config)
	pid := node.command.Process.Pid

	done := make(chan struct{})
	var running sync.WaitGroup
	var sent, served atomic.Int64
	running.Go(func() { stub.replaceHalf(servers, done) })
	running.Go(func() { use.descriptors = maxDescriptors(pid, done) })
	ticker := time.NewTicker(time.Second / growthRate)
	for end := time.Now().Add(*growthFor); time.Now().Before(end); <-ticker.C {
		id := fmt.Sprint("g", sent.Add(1))
		running.Go(func() {
			if requestServed(node.addr, id) {
				served.Add(1)
			}
		})
	}
	ticker.Stop()
	close(done)
	running.Wait()
	use.cpuSeconds, use.peakMemory = processUsage(t, pid)
	use.connections, use.listBytes = float64(stub.connections.Load()), float64(stub.listBytes.Load())
	use.servedShare = float64(served.Load()) / float64(sent.Load())
	return use
}

// maxDescriptors samples the number of open descriptors of a process until done is closed, and returns the maximum.
func maxDescriptors(pid int, done <-chan struct{}) (most float64) {
	for {
		select {
		case <-done:
			return most
		case <-time.After(20 * time.Millisecond):
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // a failed read counts as zero descriptors
			most = max(most, float64(len(open)))
		}
	}
}

// replaceHalf replaces half of the servers in growthSteps steps over the run. It returns early if done is closed.
// servers is the number of servers at the start.
func (f *fleet) replaceHalf(servers int, done <-chan struct{}) {
	for step := range growthSteps {
		select {
		case <-done:
			return
		case <-time.After(*growthFor / (growthSteps + 1)):
		}
		from, to := step*servers/2/growthSteps, (step+1)*servers/2/growthSteps
		f.publish(from, to, "removed", time.Time{})
		f.publish(servers+from, servers+to, "up", time.Now())
	}
}

// requestServed sends a request on a new connection to addr, and reports whether the request was served.
func requestServed(addr, id string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // an error no longer matters: the response was read
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	write(conn, requestText(id, searchClass, 1500*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// processUsage returns the CPU time of a process in seconds, and its peak memory in bytes.
func processUsage(t *testing.T, pid int) (cpuSeconds, peakMemory float64) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	const user, system, ticksPerSecond = 11, 12, 100 // indexes of the fields after the process name
	fields := strings.Fields(rest)
	for _, field := range []int{user, system} {
		ticks, err := strconv.Atoi(fields[field])
		if err != nil {
			t.Fatal(err)
		}
		cpuSeconds += float64(ticks) / ticksPerSecond
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ = strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return cpuSeconds, kilobytes * kilobyte
}

// buildNode builds the node and returns the path of the binary. It does not use the race detector, which would
// multiply the node's usage of CPU and memory.
func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wayhold")
	if out, err := exec.Command("go", "build", "-o", binary, "cobaltward/cmd/wayhold").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return binary
}

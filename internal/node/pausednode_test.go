package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// pausableNodeEnv is the environment variable that makes the test binary run a node instead of tests. A test can
// pause that process. The value is the address of the app server.
const pausableNodeEnv = "NODE_TEST_PAUSABLE_NODE"

func TestMain(m *testing.M) {
	if server := os.Getenv(pausableNodeEnv); server != "" {
		if err := runPausableNode(server); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runPausableNode runs a node until standard input ends. It prints the node's address first.
func runPausableNode(server string) error {
	config := Config{Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, MemoryMB: 32}
	config.Settings = drainSettings()
	config.InitialList.Revision, config.InitialList.Full = 1, true
	config.InitialList.Endpoints = []router.Endpoint{{ID: "s", Addr: server, Zone: "a", Kind: "k", Weight: 1}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	fmt.Println(listener.Addr())
	return Run(ctx, config, listener, nil, slog.New(slog.DiscardHandler))
}

// pausableNode is a node in a process of its own.
type pausableNode struct {
	t       *testing.T
	addr    string
	process *os.Process
}

// startPausableNode starts a node that runs until the test ends. The node's server answers a request after reading
// the body.
func startPausableNode(t *testing.T) *pausableNode {
	t.Helper()
	server := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), pausableNodeEnv+"="+server)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = input.Close()
		killTimer := time.AfterFunc(testkit.MaxWait, func() { _ = command.Process.Kill() })
		defer killTimer.Stop()
		if err := command.Wait(); err != nil {
			t.Errorf("the node process: %v", err)
		}
	})
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		t.Fatalf("no address from the node: %v", lines.Err())
	}
	return &pausableNode{t: t, addr: lines.Text(), process: command.Process}
}

// pause stops the node's process for the given duration.
func (n *pausableNode) pause(duration time.Duration) {
	if err := n.process.Signal(syscall.SIGSTOP); err != nil {
		n.t.Error(err)
	}
	time.Sleep(duration)
	if err := n.process.Signal(syscall.SIGCONT); err != nil {
		n.t.Error(err)
	}
}

// awaitRunning waits until the node has answered a request. The node has then also handled the timers that expired
// during a pause.
func (n *pausableNode) awaitRunning() {
	n.t.Helper()
	testkit.Await(n.t, "the node to run", func() bool {
		resp, err := http.Get("http://" + n.addr + readyPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

// beginUpload sends the head of a request and waits until the node asks for the body with 100 Continue.
func (n *pausableNode) beginUpload(id, framing string) *uploadClient {
	n.t.Helper()
	conn := dialClient(n.t, n.addr)
	_, _ = fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: rezervacia\r\nX-Tenant: t\r\n"+
		"X-Deadline-Ms: 30000\r\nExpect: 100-continue\r\n%s\r\n\r\n", id, framing)
	answers := bufio.NewReader(conn)
	client := &uploadClient{conn, answers}
	if status, err := client.readStatus(); status != http.StatusContinue {
		n.t.Fatalf("%s: status %d, %v, want 100", id, status, err)
	}
	return client
}

// uploadClient is a client that has sent the head of a request with a body.
type uploadClient struct {
	net.Conn
	answers *bufio.Reader
}

// finish sends the body and returns the status of the response.
func (c *uploadClient) finish(body string) (status int, err error) {
	_, _ = io.WriteString(c, body) // fails if the node has closed the connection
	return c.readStatus()
}

// readStatus reads a response and returns its status.
func (c *uploadClient) readStatus() (status int, err error) {
	_ = c.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// TestPausedNode_BodyAfterPause checks that a pause of the node does not count as a stall of its clients. The pause
// is longer than a client may stall within a body. The clients send their bodies once the node runs again, and all
// must be served.
func TestPausedNode_BodyAfterPause(t *testing.T) {
	const pause = 2600 * time.Millisecond // longer than middleware's bodyStallTimeout
	const clients = 16
	const size = 20 << 10
	content := strings.Repeat("b", size)
	for name, upload := range map[string]struct{ framing, body string }{
		"short":   {"Content-Length: 9", "123456789"},
		"length":  {fmt.Sprint("Content-Length: ", size), content},
		"chunked": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, content)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := startPausableNode(t)
			uploads := make([]*uploadClient, clients)
			for i := range uploads {
				uploads[i] = node.beginUpload(fmt.Sprint("r", i), upload.framing)
			}
			node.pause(pause)
			node.awaitRunning()
			var finished sync.WaitGroup
			for i, client := range uploads {
				finished.Go(func() {
					if status, err := client.finish(upload.body); status != http.StatusOK {
						t.Errorf("client %d: status %d, %v", i, status, err)
					}
				})
			}
			finished.Wait()
		})
	}
}

// TestPausedNode_HeadAfterPause is like TestPausedNode_BodyAfterPause, for clients that have sent only a part of a
// head.
func TestPausedNode_HeadAfterPause(t *testing.T) {
	const pause = 2600 * time.Millisecond // longer than headerTimeout
	const clients = 16
	nextRequest := func(client int) string { return nonIdempotentRequest(fmt.Sprint("b", client), time.Second) }
	t.Parallel()
	node := startPausableNode(t)
	conns := make([]*uploadClient, clients)
	for i := range conns {
		conn := dialClient(t, node.addr)
		conns[i] = &uploadClient{conn, bufio.NewReader(conn)}
		// The node reads the first half of the next head together with the first request.
		first, next := nonIdempotentRequest(fmt.Sprint("a", i), time.Second), nextRequest(i)
		if status, err := conns[i].finish(first + next[:len(next)/2]); status != http.StatusOK {
			t.Fatalf("client %d, first request: status %d, %v", i, status, err)
		}
	}
	node.pause(pause)
	node.awaitRunning()
	for i, conn := range conns {
		next := nextRequest(i)
		if status, err := conn.finish(next[len(next)/2:]); status != http.StatusOK {
			t.Errorf("client %d: status %d, %v", i, status, err)
		}
	}
}

// startStalledClient starts a client that sends a part of a body and keeps its connection open. answered receives the
// status of the response.
func (n *pausableNode) startStalledClient() (answered chan int) {
	n.t.Helper()
	client := n.beginUpload("stalled", "Content-Length: 9")
	answered = make(chan int, 1)
	go func() {
		status, _ := client.finish("1234")
		answered <- status
	}()
	return answered
}

// maxStallDelay is the maximum time until a client that stalls within a body must get its error.
const maxStallDelay = 3 * time.Second

// TestPausedNode_StalledClientDuringShortPauses checks that a client that stalls within a body gets its error within
// maxStallDelay despite repeated pauses of the node. Deadlines must allow for each pause.
func TestPausedNode_StalledClientDuringShortPauses(t *testing.T) {
	const pause, interval = 150 * time.Millisecond, 500 * time.Millisecond
	t.Parallel()
	node := startPausableNode(t)
	began := time.Now()
	answered := node.startStalledClient()
	for {
		select {
		case status := <-answered:
			if delay := time.Since(began); status != http.StatusBadRequest || delay > maxStallDelay {
				t.Errorf("status %d after %v, want 400 within %v", status, delay, maxStallDelay)
			}
			return
		case <-time.After(interval):
			node.pause(pause)
		}
	}
}

// TestPausedNode_StalledClientAfterPause checks that a pause of the node does not delay the error for a client that
// stalls within a body for too long. The error must come as soon after the pause as it would without a pause.
func TestPausedNode_StalledClientAfterPause(t *testing.T) {
	t.Parallel()
	node := startPausableNode(t)
	answered := node.startStalledClient()
	node.pause(2600 * time.Millisecond)
	resumed := time.Now()
	status := testkit.Receive(t, "the stalled client's error", answered)
	if delay := time.Since(resumed); status != http.StatusBadRequest || delay > maxStallDelay {
		t.Errorf("status %d after %v, want 400 within %v", status, delay, maxStallDelay)
	}
}

package node

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// heldListener accepts no connection until it is released, like the listener of a process without CPU time.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func newHeldListener(t *testing.T) heldListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return heldListener{listener.(*net.TCPListener), make(chan struct{})}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// TestDrain_AnswersAcceptQueueAfterTimeout checks that requests in the accept queues are answered if a drain times
// out before the accept loops have run. The listeners are closed before or after the timeout. There is still time
// until SIGKILL.
func TestDrain_AnswersAcceptQueueAfterTimeout(t *testing.T) {
	const acceptDelay = 200 * time.Millisecond // delay of the first accept after the drain has timed out
	for _, announceFor := range []time.Duration{0, acceptDelay / 4} {
		for _, front := range []string{"HTTP", "MessagePack-RPC"} {
			t.Run(fmt.Sprint(front, ", listeners close after ", announceFor), func(t *testing.T) {
				t.Parallel()
				listeners := map[string]heldListener{"HTTP": newHeldListener(t), "MessagePack-RPC": newHeldListener(t)}
				n := startNodeWithListeners(t, listeners["HTTP"], listeners["MessagePack-RPC"])
				for other, listener := range listeners {
					if other != front {
						close(listener.released)
					}
				}
				request, want := "GET "+readyPath+" HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 "
				if front == "MessagePack-RPC" {
					request, want = "\xc1", "\x93" // invalid first byte; the node sends an error notification
				}
				answer := make(chan string, 1)
				client := dialClient(t, listeners[front].Addr().String())
				if _, err := io.WriteString(client, request); err != nil {
					t.Fatal(err)
				}
				go func() { answer <- readPrefix(client, len(want)) }()
				times := shutdownTimes{drain: 1, maxDrain: testkit.MaxWait, close: testkit.MaxWait}
				drained := make(chan error, 1)
				go func() { drained <- n.drain(times, announceFor, 0) }()
				time.Sleep(acceptDelay)
				close(listeners[front].released)
				if got := testkit.Receive(t, "the answer", answer); !strings.HasPrefix(got, want) {
					t.Errorf("read %q, want %q", got, want)
				}
				_ = client.Close()
				if err := testkit.Receive(t, "the end of the drain", drained); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// startNodeWithListeners runs a node without servers until the test ends. The test must drain the node.
func startNodeWithListeners(t *testing.T, http, rpc net.Listener) *node {
	t.Helper()
	n := &node{
		config: Config{
			Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, Settings: drainSettings(),
			Msgpack: Msgpack{Listener: rpc},
		},
		log: slog.New(slog.DiscardHandler), serveErrors: make(chan error, maxServers),
	}
	t.Cleanup(n.release)
	if err := n.build(http); err != nil {
		t.Fatal(err)
	}
	n.start(nil)
	t.Cleanup(n.stopTasks)
	return n
}

// readPrefix reads n bytes. It returns the bytes, or the text of an error.
func readPrefix(conn net.Conn, n int) string {
	prefix := make([]byte, n)
	if _, err := io.ReadFull(conn, prefix); err != nil {
		return err.Error()
	}
	return string(prefix)
}

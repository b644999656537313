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

// heldListener accepts nothing until it is released, as in a process that has no CPU.
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

// The time of a drain is over while the accept loops have not run since clients connected, before the listeners close
// and while they do: the requests that wait in the accept queues are answered, since there is time until SIGKILL.
func TestDrain_AnswersAcceptQueueAfterItsTime(t *testing.T) {
	const notAcceptedFor = 200 * time.Millisecond // since the time of the drain was over
	for _, announceFor := range []time.Duration{0, notAcceptedFor / 4} {
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
					request, want = "\xc1", "\x93" // no message begins so: the answer is a notification of the error
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
				time.Sleep(notAcceptedFor)
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

// startNodeWithListeners runs a node without servers until the end of the test, which has to drain it.
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

// readPrefix reads n bytes, and returns them, or the error's text.
func readPrefix(conn net.Conn, n int) string {
	prefix := make([]byte, n)
	if _, err := io.ReadFull(conn, prefix); err != nil {
		return err.Error()
	}
	return string(prefix)
}

package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// failuresInSeries is how often accepting fails in a row before a connection comes through.
const failuresInSeries = 5

// TestListenersSurviveAcceptErrors has each listener of the node fail to accept with every error that Linux documents,
// several times in a row. The client whose connection was in the accept queue gets its answer, and so does the next.
func TestListenersSurviveAcceptErrors(t *testing.T) {
	const readyRequest = "GET " + readyPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	const statusRequest = "GET /v1/status HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer t\r\nConnection: close\r\n\r\n"
	failing := func() *testkit.FailingListener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return &testkit.FailingListener{Listener: listener}
	}
	http, rpc, operations := failing(), failing(), failing()
	admin := &testkit.FailingListener{}
	config := Config{
		Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, Settings: drainSettings(),
		Msgpack: Msgpack{Listener: rpc}, OperationsListener: operations,
		AdminAPI: adminapi.Config{Listen: "127.0.0.1:0", Token: "t", WrapListener: func(inner net.Listener) net.Listener {
			admin.Listener = inner
			return admin
		}},
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, http, nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		if err := testkit.Receive(t, "the node's end", ended); err != nil {
			t.Error(err)
		}
	})
	testkit.Await(t, "the node to be ready", func() bool {
		return strings.HasPrefix(exchange(http, readyRequest), "HTTP/1.1 200")
	})
	for _, test := range []struct {
		name     string
		listener *testkit.FailingListener
		request  string
		want     string
	}{
		{"HTTP", http, readyRequest, "HTTP/1.1 200"},
		{"MessagePack-RPC", rpc, "\xc1", "\x93"}, // no message begins so: the answer is a notification of the error
		{"admin API", admin, statusRequest, "HTTP/1.1 200"},
		{"operations endpoint", operations, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, errno := range testkit.AcceptErrors {
				test.listener.FailNext(errno, failuresInSeries)
				for range 2 {
					if got := exchange(test.listener, test.request); !strings.HasPrefix(got, test.want) {
						t.Fatalf("%v: answered with %q", errno, got)
					}
				}
				if n := test.listener.Pending(); n != 0 {
					t.Fatalf("%v: %d of the failures did not occur", errno, n)
				}
			}
		})
	}
}

// TestRun_ListenerFailsForGood has each listener for clients fail for good: Run returns its error.
func TestRun_ListenerFailsForGood(t *testing.T) {
	for _, failing := range []string{"HTTP", "MessagePack-RPC"} {
		t.Run(failing, func(t *testing.T) {
			http, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			rpc, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			broken := map[string]net.Listener{"HTTP": http, "MessagePack-RPC": rpc}[failing]
			_ = broken.Close()
			config := Config{
				Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 512, Settings: drainSettings(),
				Msgpack: Msgpack{Listener: rpc},
			}
			ended := make(chan error, 1)
			go func() { ended <- Run(t.Context(), config, http, nil, slog.New(slog.DiscardHandler)) }()
			if err := testkit.Receive(t, "the node's end", ended); !errors.Is(err, net.ErrClosed) {
				t.Errorf("the node ended with %v", err)
			}
		})
	}
}

// exchange sends a request over a new connection and returns the start of the answer, or the error's text.
func exchange(to net.Listener, request string) string {
	const timeout = 5 * time.Second
	conn, err := net.DialTimeout("tcp", to.Addr().String(), timeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	answer := make([]byte, 64)
	n, err := conn.Read(answer)
	if n == 0 {
		return fmt.Sprint("no answer: ", err)
	}
	return string(answer[:n])
}

// TestRelisten_AddressComesFree has the address of a listener be in use for 2 s as it is opened again.
func TestRelisten_AddressComesFree(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(2*time.Second, func() { _ = taken.Close() })
	listener, err := relisten(taken.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}

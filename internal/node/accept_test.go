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

// consecutiveFailures is the number of accept errors in a row before a connection is accepted.
const consecutiveFailures = 5

// TestListenersSurviveAcceptErrors checks that the node's listeners keep serving after accept errors. On each
// listener, Accept fails several times in a row with every error that Linux documents. The client in the accept queue
// and the next client must get their responses.
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
		{"MessagePack-RPC", rpc, "\xc1", "\x93"}, // invalid first byte; the node sends an error notification
		{"admin API", admin, statusRequest, "HTTP/1.1 200"},
		{"operations endpoint", operations, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, errno := range testkit.AcceptErrors {
				test.listener.FailNext(errno, consecutiveFailures)
				for range 2 {
					if got := exchange(test.listener, test.request); !strings.HasPrefix(got, test.want) {
						t.Fatalf("after %v: got response %q", errno, got)
					}
				}
				if n := test.listener.Pending(); n != 0 {
					t.Fatalf("%v: %d of the failures did not occur", errno, n)
				}
			}
		})
	}
}

// TestRun_ListenerFailsPermanently checks that Run returns the error of a client listener that can no longer accept.
func TestRun_ListenerFailsPermanently(t *testing.T) {
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

// exchange sends a request over a new connection. It returns the start of the response, or the text of an error.
func exchange(listener net.Listener, request string) string {
	const timeout = 5 * time.Second
	conn, err := net.DialTimeout("tcp", listener.Addr().String(), timeout)
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

// TestRelisten_AddressComesFree checks that relisten retries while its address is in use. Another listener releases
// the address after 2 s.
func TestRelisten_AddressComesFree(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(2*time.Second, func() { _ = occupied.Close() })
	listener, err := relisten(occupied.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
}

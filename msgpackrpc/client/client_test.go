package client

import (
	"bufio"
	"net"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/mux"
)

// TestCall_TimeoutExcludesTimeToConnect checks that the node receives the time that remains of the timeout after
// connecting.
func TestCall_TimeoutExcludesTimeToConnect(t *testing.T) {
	const timeout, connecting = 10 * time.Second, 200 * time.Millisecond
	received := make(chan time.Duration, 1)
	addr := testkit.RawServer(t, func(conn net.Conn, in *bufio.Reader) {
		frame, err := msgpackrpc.NewReader(in).Next()
		if err != nil {
			return
		}
		message, err := msgpackrpc.Parse(frame)
		if err != nil {
			t.Error(err)
			return
		}
		call, err := msgpackrpc.ParseCall(message.Params)
		if err != nil {
			t.Error(err)
			return
		}
		received <- call.Timeout
		_, _ = conn.Write(msgpackrpc.AppendReply(nil, message.ID, &msgpackrpc.Reply{}))
	})
	client := New("tcp", addr)
	defer client.Close()
	client.dialing = make(chan struct{}) // another call is connecting
	time.AfterFunc(connecting, func() {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		client.mu.Lock()
		defer client.mu.Unlock()
		client.conn = mux.New(nc, nil)
		close(client.dialing)
		client.dialing = nil
	})
	if _, err := client.Call(t.Context(), msgpackrpc.Call{ID: "r1", Class: "read", Timeout: timeout}); err != nil {
		t.Fatal(err)
	}
	if got := testkit.Receive(t, "the call", received); got > timeout-connecting {
		t.Errorf("the node received the timeout %v, want %v at most", got, timeout-connecting)
	}
}

package mux

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is the end of a connection at the server. Tests use it to send and receive single messages.
type peer struct {
	net.Conn
	in *msgpackrpc.Reader
}

// connect returns a connection and its peer at the server. The peer sends only what the test writes. If wrap is not
// nil, it wraps the client end of the connection.
func connect(t testing.TB, wrap func(net.Conn) net.Conn, onDrain func()) (*Conn, peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if wrap != nil {
		nc = wrap(nc)
	}
	c := New(nc, onDrain)
	t.Cleanup(func() {
		c.Close()
		_ = other.Close()
	})
	_ = other.SetDeadline(time.Now().Add(testkit.MaxWait))
	return c, peer{other, msgpackrpc.NewReader(other)}
}

// next returns the msgid and the method of the next message. For a cancel, the msgid is that of the cancelled call.
func (p peer) next(t testing.TB) (uint32, string) {
	t.Helper()
	raw, err := p.in.Next()
	if err != nil {
		t.Fatal(err)
	}
	m, err := msgpackrpc.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	if id, ok := msgpackrpc.CancelledID(m); ok && m.Method == msgpackrpc.MethodCancel {
		return id, m.Method
	}
	return m.ID, m.Method
}

func (p peer) write(t testing.TB, b []byte) {
	t.Helper()
	if _, err := p.Write(b); err != nil {
		t.Fatal(err)
	}
}

func answer(id uint32, text string) []byte {
	return msgpackrpc.AppendReply(nil, id, &msgpackrpc.Reply{Body: []byte(text)})
}

// result describes the outcome of a call: "ok" and the body, or the kind of error.
func result(r msgpackrpc.Reply, err error) string {
	var notSent *NotSentError
	var noReply *NoReplyError
	var malformed *MalformedReplyError
	switch {
	case err == nil:
		return "ok " + string(r.Body)
	case errors.As(err, &notSent):
		return "not sent"
	case errors.As(err, &noReply):
		return "no reply"
	case errors.As(err, &malformed):
		return "malformed"
	}
	return err.Error()
}

// startCalls starts n calls, each after p has received the previous call. Each returned channel receives the outcome
// of one call.
func startCalls(t testing.TB, c *Conn, p peer, n int) []chan string {
	t.Helper()
	ends := make([]chan string, n)
	for i := range ends {
		ends[i] = make(chan string, 1)
		go func() { ends[i] <- result(c.Call(context.Background(), &msgpackrpc.Call{ID: fmt.Sprint(i)}, nil)) }()
		if id, method := p.next(t); id != uint32(i+1) || method != msgpackrpc.MethodCall {
			t.Fatalf("call %d was received as method %s, msgid %d", i, method, id)
		}
	}
	return ends
}

// TestCall_OutcomeOfServerFaults checks that the outcome of a call says whether the call may have run. The server
// answers or fails to answer three calls.
func TestCall_OutcomeOfServerFaults(t *testing.T) {
	for name, test := range map[string]struct {
		serve func(t testing.TB, server peer)
		want  string
	}{
		"answers in another order": {func(t testing.TB, server peer) {
			server.write(t, append(append(answer(3, "c"), answer(1, "a")...), answer(2, "b")...))
		}, "ok a, ok b, ok c"},
		"closes before any answer": {func(_ testing.TB, server peer) { _ = server.Close() }, "no reply, no reply, no reply"},
		"closes within an answer": {func(t testing.TB, server peer) {
			b := answer(2, "b")
			server.write(t, append(answer(1, "a"), b[:len(b)-1]...))
			_ = server.Close()
		}, "ok a, no reply, no reply"},
		"answers an unknown call": {func(t testing.TB, server peer) {
			server.write(t, append(answer(1, "a"), answer(77, "x")...))
		}, "ok a, no reply, no reply"},
		"answers twice": {func(t testing.TB, server peer) {
			server.write(t, append(answer(1, "a"), answer(1, "a")...))
		}, "ok a, no reply, no reply"},
		"both an error and a result": {func(t testing.TB, server peer) {
			server.write(t, append([]byte{0x94, 1, 2, 0x80, 0x80}, append(answer(1, "a"), answer(3, "c")...)...))
		}, "ok a, malformed, ok c"},
		"neither": {func(t testing.TB, server peer) {
			server.write(t, append([]byte{0x94, 1, 2, 0xc0, 0xc0}, append(answer(1, "a"), answer(3, "c")...)...))
		}, "ok a, malformed, ok c"},
		"a request": {func(t testing.TB, server peer) {
			server.write(t, append(answer(1, "a"), msgpackrpc.AppendCall(nil, 9, &msgpackrpc.Call{})...))
		}, "ok a, no reply, no reply"},
		"not MessagePack-RPC": {func(t testing.TB, server peer) {
			server.write(t, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		}, "no reply, no reply, no reply"},
		"an unknown notification": {func(t testing.TB, server peer) {
			server.write(t, slices.Concat([]byte("\x93\x02\xa5later\x90"), answer(1, "a"), answer(2, "b"), answer(3, "c")))
		}, "ok a, ok b, ok c"},
		"a drain, then answers": {func(t testing.TB, server peer) {
			server.write(t, slices.Concat(msgpackrpc.AppendDrain(nil), answer(1, "a"), answer(2, "b"), answer(3, "c")))
		}, "ok a, ok b, ok c"},
		"a drain, then closes": {func(t testing.TB, server peer) {
			server.write(t, append(msgpackrpc.AppendDrain(nil), answer(1, "a")...))
			_ = server.Close()
		}, "ok a, no reply, no reply"},
		"a length beyond the limit": {func(t testing.TB, server peer) {
			server.write(t, append(answer(1, "a"), 0xdd, 0xff, 0xff, 0xff, 0xff))
		}, "ok a, no reply, no reply"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, server := connect(t, nil, nil)
			ends := startCalls(t, conn, server, 3)
			test.serve(t, server)
			var got []string
			for _, e := range ends {
				got = append(got, testkit.Receive(t, "a call's end", e))
			}
			if strings.Join(got, ", ") != test.want {
				t.Errorf("%q, want %s", got, test.want)
			}
		})
	}
}

// limitedConn is a connection that accepts a limited number of bytes. The write that exceeds the limit fails and
// closes the connection.
type limitedConn struct {
	net.Conn
	remaining     atomic.Int64
	writesAllowed chan struct{} // closed when writes may begin
}

func (s *limitedConn) Write(p []byte) (int, error) {
	<-s.writesAllowed
	if left := int(s.remaining.Load()); len(p) > left {
		n, _ := s.Conn.Write(p[:left])
		_ = s.Close()
		return n, io.ErrClosedPipe
	}
	s.remaining.Add(int64(-len(p)))
	return s.Conn.Write(p)
}

// TestCall_OutcomeOfPartialWrite checks that a call counts as possibly run only if its last byte was written. The
// connection fails after each possible number of written bytes of a batch.
func TestCall_OutcomeOfPartialWrite(t *testing.T) {
	frame := len(msgpackrpc.AppendCall(nil, 1, &msgpackrpc.Call{ID: "0"}))
	const n = 3
	for cut := range n*frame + 1 {
		writesAllowed := make(chan struct{})
		conn, _ := connect(t, func(nc net.Conn) net.Conn {
			s := &limitedConn{Conn: nc, writesAllowed: writesAllowed}
			s.remaining.Store(int64(cut))
			return s
		}, nil)
		var ends [n]chan string
		for i := range ends {
			ends[i] = make(chan string, 1)
			go func() { ends[i] <- result(conn.Call(context.Background(), &msgpackrpc.Call{ID: fmt.Sprint(i)}, nil)) }()
			testkit.Await(t, "the call", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return int(conn.lastID) == i+1
			})
		}
		close(writesAllowed)
		if cut == n*frame { // all calls are written before the connection closes
			testkit.Await(t, "the writes", func() bool {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				for _, call := range conn.calls {
					if call.state != sent {
						return false
					}
				}
				return true
			})
			_ = conn.nc.Close()
		}
		for i := range ends {
			want := "not sent"
			if cut >= (i+1)*frame {
				want = "no reply"
			}
			if got := testkit.Receive(t, "a call's end", ends[i]); got != want {
				t.Errorf("cut at byte %d of %d: call %d is %s, want %s", cut, n*frame, i, got, want)
			}
		}
	}
}

// TestCall_Abandoned checks that the server receives a cancel for an abandoned call. The late reply is ignored, the
// msgid is not reused, and other calls are not affected. A call that maySend prevents is not sent.
func TestCall_Abandoned(t *testing.T) {
	conn, server := connect(t, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := make(chan string, 1)
	go func() { abandoned <- result(conn.Call(ctx, &msgpackrpc.Call{}, nil)) }()
	server.next(t)
	cancel()
	if got := testkit.Receive(t, "the outcome of the abandoned call", abandoned); got != "no reply" {
		t.Errorf("the abandoned call: %s, want no reply", got)
	}
	if id, method := server.next(t); id != 1 || method != msgpackrpc.MethodCancel {
		t.Errorf("the server was notified with method %s, msgid %d, want a cancel of msgid 1", method, id)
	}
	conn.mu.Lock()
	conn.lastID = 0 // simulates 2^32 calls
	conn.mu.Unlock()
	other := make(chan string, 1)
	go func() { other <- result(conn.Call(t.Context(), &msgpackrpc.Call{}, nil)) }()
	id, _ := server.next(t)
	if id != 2 {
		t.Errorf("the next call has the msgid %d, want 2", id)
	}
	server.write(t, append(answer(1, "late"), answer(id, "mine")...))
	if got := testkit.Receive(t, "the outcome of the other call", other); got != "ok mine" {
		t.Errorf("the other call: got %s, want ok mine", got)
	}
	prevent := func() error { return errors.New("draining") }
	if got := result(conn.Call(t.Context(), &msgpackrpc.Call{}, prevent)); got != "not sent" {
		t.Errorf("a call prevented by maySend: %s, want not sent", got)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if got := result(conn.Call(ended, &msgpackrpc.Call{}, ended.Err)); got != "not sent" {
		t.Errorf("a call whose context had ended: %s, want not sent", got)
	}
}

// TestDrain_AnswersOpenCalls checks that no new calls are sent after a drain notification. The connection closes
// after its last reply.
func TestDrain_AnswersOpenCalls(t *testing.T) {
	drained := make(chan struct{})
	conn, server := connect(t, nil, sync.OnceFunc(func() { close(drained) }))
	ends := startCalls(t, conn, server, 2)
	server.write(t, msgpackrpc.AppendDrain(nil))
	testkit.Receive(t, "the drain notification", drained)
	if _, err := conn.Call(t.Context(), &msgpackrpc.Call{}, nil); !errors.Is(err, ErrRetired) || conn.Usable() {
		t.Errorf("a call after the notification: got %v, want ErrRetired", err)
	}
	server.write(t, answer(2, "b"))
	server.write(t, answer(1, "a"))
	for i, want := range []string{"ok a", "ok b"} {
		if got := testkit.Receive(t, "a call's end", ends[i]); got != want {
			t.Errorf("call %d: got %s", i, got)
		}
	}
	testkit.Receive(t, "the connection's end", conn.Done())
	if _, err := server.in.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("the server received %v, want EOF", err)
	}
}

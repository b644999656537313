package mux

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// peer is the server's end of a connection, at the level of messages.
type peer struct {
	net.Conn
	in *msgpackrpc.Reader
}

// pair is a connection and its other end, which writes nothing by itself.
func pair(t testing.TB, wrap func(net.Conn) net.Conn, onDrain func()) (*Conn, peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
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
	t.Cleanup(func() { c.Close(); other.Close() })
	_ = other.SetDeadline(time.Now().Add(testkit.Long))
	return c, peer{other, msgpackrpc.NewReader(other)}
}

// next is the msgid of the next message, and its method.
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

// outcome is how a call ended, in a word.
func end(r msgpackrpc.Reply, err error) string {
	var notSent *NotSentError
	var lost *NoReplyError
	var spoilt *MalformedReplyError
	switch {
	case err == nil:
		return "ok " + string(r.Body)
	case errors.As(err, &notSent):
		return "not sent"
	case errors.As(err, &lost):
		return "lost"
	case errors.As(err, &spoilt):
		return "spoilt"
	}
	return err.Error()
}

// calls starts calls one after the other, each once the one before is at the peer.
func calls(t testing.TB, c *Conn, p peer, n int) []chan string {
	t.Helper()
	ends := make([]chan string, n)
	for i := range ends {
		ends[i] = make(chan string, 1)
		go func() { ends[i] <- end(c.Call(context.Background(), &msgpackrpc.Call{ID: fmt.Sprint(i)}, nil)) }()
		if id, method := p.next(t); id != uint32(i+1) || method != msgpackrpc.MethodCall {
			t.Fatalf("call %d came as %s %d", i, method, id)
		}
	}
	return ends
}

// What a server does to the connection, and what each of three calls that it has then comes to.
func TestTheServersFaults(t *testing.T) {
	for name, c := range map[string]struct {
		does  func(t testing.TB, p peer)
		wants string
	}{
		"answers in another order": {func(t testing.TB, p peer) {
			p.write(t, append(append(answer(3, "c"), answer(1, "a")...), answer(2, "b")...))
		}, "ok a, ok b, ok c"},
		"breaks before any answer": {func(t testing.TB, p peer) { p.Close() }, "lost, lost, lost"},
		"breaks in an answer": {func(t testing.TB, p peer) {
			b := answer(2, "b")
			p.write(t, append(answer(1, "a"), b[:len(b)-1]...))
			p.Close()
		}, "ok a, lost, lost"},
		"answers what nobody asked": {func(t testing.TB, p peer) { p.write(t, append(answer(1, "a"), answer(77, "x")...)) }, "ok a, lost, lost"},
		"answers twice":             {func(t testing.TB, p peer) { p.write(t, append(answer(1, "a"), answer(1, "a")...)) }, "ok a, lost, lost"},
		"both an error and a result": {func(t testing.TB, p peer) {
			p.write(t, append([]byte{0x94, 1, 2, 0x80, 0x80}, append(answer(1, "a"), answer(3, "c")...)...))
		}, "ok a, spoilt, ok c"},
		"neither": {func(t testing.TB, p peer) {
			p.write(t, append([]byte{0x94, 1, 2, 0xc0, 0xc0}, append(answer(1, "a"), answer(3, "c")...)...))
		}, "ok a, spoilt, ok c"},
		"a request": {func(t testing.TB, p peer) {
			p.write(t, append(answer(1, "a"), msgpackrpc.AppendCall(nil, 9, &msgpackrpc.Call{})...))
		}, "ok a, lost, lost"},
		"no MessagePack-RPC": {func(t testing.TB, p peer) { p.write(t, []byte("HTTP/1.1 400 Bad Request\r\n\r\n")) }, "lost, lost, lost"},
		"an unknown notice": {func(t testing.TB, p peer) {
			p.write(t, append([]byte("\x93\x02\xa5later\x90"), append(append(answer(1, "a"), answer(2, "b")...), answer(3, "c")...)...))
		}, "ok a, ok b, ok c"},
		"a drain, then answers": {func(t testing.TB, p peer) {
			p.write(t, append(msgpackrpc.AppendDrain(nil), append(append(answer(1, "a"), answer(2, "b")...), answer(3, "c")...)...))
		}, "ok a, ok b, ok c"},
		"a drain, then the end": {func(t testing.TB, p peer) {
			p.write(t, append(msgpackrpc.AppendDrain(nil), answer(1, "a")...))
			p.Close()
		}, "ok a, lost, lost"},
		"lengths that are a lie": {func(t testing.TB, p peer) { p.write(t, append(answer(1, "a"), 0xdd, 0xff, 0xff, 0xff, 0xff)) }, "ok a, lost, lost"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, p := pair(t, nil, nil)
			ends := calls(t, conn, p, 3)
			c.does(t, p)
			var got []string
			for _, e := range ends {
				got = append(got, testkit.Receive(t, "a call's end", e))
			}
			if strings.Join(got, ", ") != c.wants {
				t.Errorf("%q, want %s", got, c.wants)
			}
		})
	}
}

// stuck lets a connection write so many bytes, and then breaks it.
type stuck struct {
	net.Conn
	left atomic.Int64
	gate chan struct{} // closed: writes may begin
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	if left := int(s.left.Load()); len(p) > left {
		n, _ := s.Conn.Write(p[:left])
		s.Conn.Close()
		return n, io.ErrClosedPipe
	}
	s.left.Add(int64(-len(p)))
	return s.Conn.Write(p)
}

// A connection that breaks while several calls are written together: those whose last byte was written may
// have run, and the others can't have, at every byte where it may break.
func TestBreaksWhileItWrites(t *testing.T) {
	frame := len(msgpackrpc.AppendCall(nil, 1, &msgpackrpc.Call{ID: "0"}))
	const n = 3
	for cut := range n*frame + 1 {
		gate := make(chan struct{})
		c, _ := pair(t, func(nc net.Conn) net.Conn {
			s := &stuck{Conn: nc, gate: gate}
			s.left.Store(int64(cut))
			return s
		}, nil)
		var ends [n]chan string
		for i := range ends {
			ends[i] = make(chan string, 1)
			go func() { ends[i] <- end(c.Call(context.Background(), &msgpackrpc.Call{ID: fmt.Sprint(i)}, nil)) }()
			testkit.Await(t, "the call", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return int(c.next) == i+1
			})
		}
		close(gate)
		if cut == n*frame { // all of them left: now the connection ends
			testkit.Await(t, "the writes", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				for _, k := range c.calls {
					if k.state != sent {
						return false
					}
				}
				return true
			})
			c.nc.Close()
		}
		for i := range ends {
			want := "not sent"
			if cut >= (i+1)*frame {
				want = "lost"
			}
			if got := testkit.Receive(t, "a call's end", ends[i]); got != want {
				t.Errorf("cut at byte %d of %d: call %d is %s, want %s", cut, n*frame, i, got, want)
			}
		}
	}
}

// A call that is given up: the server is told, its late answer is nobody's, its id is not used again, and
// the others are untouched. What may stop a call in the last moment proves that it never left.
func TestGivenUp(t *testing.T) {
	c, p := pair(t, nil, nil)
	ctx, cancel := context.WithCancel(t.Context())
	given := make(chan string, 1)
	go func() { given <- end(c.Call(ctx, &msgpackrpc.Call{}, nil)) }()
	p.next(t)
	cancel()
	if got := testkit.Receive(t, "the end", given); got != "lost" {
		t.Errorf("given up: %s", got)
	}
	if id, method := p.next(t); id != 1 || method != msgpackrpc.MethodCancel {
		t.Errorf("the server was told %s %d", method, id)
	}
	c.mu.Lock()
	c.next = 0 // 2^32 calls later
	c.mu.Unlock()
	other := make(chan string, 1)
	go func() { other <- end(c.Call(t.Context(), &msgpackrpc.Call{}, nil)) }()
	id, _ := p.next(t)
	if id != 2 {
		t.Errorf("the next call has the id %d of one whose answer may still come", id)
	}
	p.write(t, append(answer(1, "late"), answer(id, "mine")...))
	if got := testkit.Receive(t, "the other's end", other); got != "ok mine" {
		t.Errorf("the other: %s", got)
	}
	if got := end(c.Call(t.Context(), &msgpackrpc.Call{}, func() error { return errors.New("it drains") })); got != "not sent" {
		t.Errorf("stopped: %s", got)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if got := end(c.Call(ended, &msgpackrpc.Call{}, ended.Err)); got != "not sent" {
		t.Errorf("one whose time was over: %s", got)
	}
}

// From a drain's notice on nothing new goes out, and the connection ends with its last call.
func TestDrain(t *testing.T) {
	drained := make(chan struct{})
	c, p := pair(t, nil, sync.OnceFunc(func() { close(drained) }))
	ends := calls(t, c, p, 2)
	p.write(t, msgpackrpc.AppendDrain(nil))
	testkit.Receive(t, "the notice", drained)
	if _, err := c.Call(t.Context(), &msgpackrpc.Call{}, nil); !errors.Is(err, ErrRetired) || c.Usable() {
		t.Errorf("a call after the notice: %v", err)
	}
	p.write(t, answer(2, "b"))
	p.write(t, answer(1, "a"))
	for i, want := range []string{"ok a", "ok b"} {
		if got := testkit.Receive(t, "a call's end", ends[i]); got != want {
			t.Errorf("call %d: %s", i, got)
		}
	}
	testkit.Receive(t, "the connection's end", c.Done())
	if _, err := p.in.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("the server sees %v", err)
	}
}

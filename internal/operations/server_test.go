package operations

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

type node struct{ serving, standby atomic.Bool }

func (n *node) Serving() bool                    { return n.serving.Load() }
func (n *node) AppendMetrics(page []byte) []byte { return append(page, "inflight=14\n"...) }
func (n *node) Active() error                    { n.standby.Store(false); return nil }

func (n *node) Standby() error {
	if n.standby.Swap(true) {
		return errors.New("the process is ending")
	}
	return nil
}

func open(t *testing.T, n Node) string {
	ln, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := Serve(ln, n, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// raw sends bytes and returns all that comes back until the console closes.
func raw(t *testing.T, addr, call string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, call)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(c)
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Fatalf("%q: the connection stays", call)
	}
	return string(all)
}

func TestCalls(t *testing.T) {
	n := new(node)
	addr := open(t, n)
	for _, x := range []struct{ call, want, also string }{
		{"GET /status", "503 ", ""},
		{"PUT /standby", "200 ", ""},
		{"PUT /standby", "409 ", "is ending"},
		{"PUT /active", "200 ", ""},
		{"GET /status/metrics", "200 ", "\r\n\r\ninflight=14\n"},
		{"GET /", "404 ", ""},
		{"GET /status/", "404 ", ""},
		{"GET /health/ready", "404 ", ""},
		{"POST /standby", "405 ", "Allow: PUT"},
		{"PUT /status", "405 ", "Allow: GET"},
		{"HEAD /status/metrics", "405 ", "Allow: GET"},
	} {
		got := raw(t, addr, x.call+" HTTP/1.1\r\nHost: x\r\n\r\n")
		if !strings.HasPrefix(got, "HTTP/1.1 "+x.want) || !strings.Contains(got, x.also) || !strings.Contains(got, "Connection: close") {
			t.Errorf("%s: %q", x.call, got)
		}
	}
	n.serving.Store(true)
	if got := raw(t, addr, "GET /status HTTP/1.1\r\nHost: x\r\n\r\nGET /status HTTP/1.1\r\nHost: x\r\n\r\n"); strings.Count(got, "HTTP/1.1 200") != 1 {
		t.Errorf("two calls on one connection: %q", got)
	}
	for what, call := range map[string]string{"broken": "GET /status\r\n\r\n", "too long": "GET /status HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n"} {
		if got := raw(t, addr, call); !strings.HasPrefix(got, "HTTP/1.1 4") {
			t.Errorf("%s: %q", what, got)
		}
	}
}

// Callers who connect and finish no call, more of them than there are slots, and anew all the time: a whole call is
// answered all the same, and none of them is kept for longer than a head may take.
func TestStalledCallers(t *testing.T) {
	n := new(node)
	n.serving.Store(true)
	addr := open(t, n)
	var stalled []net.Conn
	for i := range 3 * slots {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /sta")
		}
		stalled = append(stalled, c)
		if i%slots == slots-1 {
			if got := raw(t, addr, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200") {
				t.Fatalf("behind %d: %q", i+1, got)
			}
		}
	}
	for i, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadAll(c); err != nil {
			if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
				t.Fatalf("stalled caller %d is kept", i)
			}
		}
	}
}

// Slots are bounded, and one who has a whole call in is not thrown out for another.
func TestSlots(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(ln, 2)
	defer l.Close()
	come := func() net.Conn {
		out, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { out.Close() })
		in, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { in.Close() })
		return in
	}
	first, second := come(), come()
	l.change(first, http.StateActive)
	third := come()
	if _, kept := l.open[first]; !kept || len(l.open) != 2 {
		t.Errorf("%d hold a slot; the one being answered among them: %v", len(l.open), kept)
	}
	if _, err := second.Write([]byte("x")); err == nil {
		t.Error("the one without a call was not ended")
	}
	l.change(third, http.StateActive)
	let := make(chan net.Conn)
	go func() {
		out, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			defer out.Close()
		}
		c, _ := l.Accept()
		let <- c
	}()
	testkit.Await(t, "the fourth to wait", func() bool {
		select {
		case <-let:
			t.Fatal("a fourth was let in while all are answered")
		default:
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.open) == 2
	})
	l.change(first, http.StateClosed)
	c := <-let
	if c == nil {
		t.Fatal("nobody was let in")
	}
	c.Close()
}

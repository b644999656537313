package msgpack

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stubEngine answers each call with the result of do, or with the call's ID if do is nil. It counts the open calls.
type stubEngine struct {
	do   func(ctx context.Context, r router.Request) (router.Answer, error)
	open atomic.Int64
}

func (e *stubEngine) Do(ctx context.Context, r router.Request) (router.Answer, error) {
	e.open.Add(1)
	defer e.open.Add(-1)
	if e.do == nil {
		return router.Answer{Body: []byte(r.ID)}, nil
	}
	return e.do(ctx, r)
}

func (e *stubEngine) Class(name string) (policy.Class, bool) {
	return policy.Class{Name: name, Idempotency: policy.Idempotent}, name == "read"
}

// patientEngine is a stubEngine whose calls may be queued for long.
type patientEngine struct{ stubEngine }

func (*patientEngine) QueueTimeout() time.Duration { return time.Minute }

// answerAfter returns a function for stubEngine.do. The function answers a call after until is closed or the call is
// cancelled.
func answerAfter(until chan struct{}) func(context.Context, router.Request) (router.Answer, error) {
	return func(ctx context.Context, r router.Request) (router.Answer, error) {
		select {
		case <-until:
			return router.Answer{Body: []byte(r.ID)}, nil
		case <-ctx.Done():
			return router.Answer{}, ctx.Err()
		}
	}
}

func startServer(t testing.TB, engine Engine, config Config) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(engine, config)
	serveUntilEnd(t, server, ln)
	return server, ln.Addr().String()
}

// serveUntilEnd serves ln until the test ends.
func serveUntilEnd(t testing.TB, server *Server, ln net.Listener) {
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		server.Close()
		if err := testkit.Receive(t, "the return of Serve", served); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
}

// rawClient is a client that sends and receives single messages.
type rawClient struct {
	net.Conn
	in *msgpackrpc.Reader
}

func dial(t testing.TB, addr string) rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testkit.MaxWait))
	return rawClient{conn, msgpackrpc.NewReader(conn)}
}

func (r rawClient) call(t testing.TB, ids ...uint32) {
	t.Helper()
	var b []byte
	for _, id := range ids {
		b = msgpackrpc.AppendCall(b, id, &msgpackrpc.Call{ID: fmt.Sprint("r", id), Class: "read", Timeout: time.Minute})
	}
	if _, err := r.Write(b); err != nil {
		t.Fatal(err)
	}
}

// next returns a description of the next message, or the text of the error if no message arrives.
func (r rawClient) next() string {
	frame, err := r.in.Next()
	if err != nil {
		return err.Error()
	}
	return describe(frame)
}

// describe returns a description of an encoded message.
func describe(frame []byte) string {
	message, err := msgpackrpc.Parse(frame)
	switch {
	case err != nil:
		return err.Error()
	case message.Kind == msgpackrpc.Notification:
		return message.Method + " " + string(message.Params[1:])
	}
	reply, err := msgpackrpc.ParseReply(message)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(message.ID, " ", reply.Code, string(reply.Body))
}

func (r rawClient) expect(t testing.TB, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := r.next(); !strings.Contains(got, w) {
			t.Errorf("got %q, want %q", got, w)
		}
	}
}

// TestServe_ProtocolViolations checks that the server answers a protocol violation with an error notification. The
// connection ends once its open calls have been answered, and other connections are not affected.
func TestServe_ProtocolViolations(t *testing.T) {
	until := make(chan struct{})
	stub := &stubEngine{do: answerAfter(until)}
	_, addr := startServer(t, stub, Config{MessageTimeout: 300 * time.Millisecond})
	good := dial(t, addr)
	good.call(t, 1)
	cases := map[string]struct{ send, want string }{
		"4 billion elements":   {"\xdd\xff\xff\xff\xff", "error"},
		"10,000 levels":        {strings.Repeat("\x91", 10_000), "error"},
		"an unfinished string": {"\x94\x00\x01\xdb\xff\xff\xff\xff", "error"},
		"not an array":         {"\x07", "error"},
		"a response":           {"\x94\x01\x01\xc0\x80", "error"},
		"a msgid in use":       {"", "error"},
		"half a message":       {"\x94\x00\x01", ""},
	}
	var ended sync.WaitGroup
	for name, test := range cases {
		bad := dial(t, addr)
		bad.call(t, 7)
		if name == "a msgid in use" {
			bad.call(t, 7)
		}
		if _, err := io.WriteString(bad, test.send); err != nil {
			t.Fatal(err)
		}
		ended.Go(func() {
			got := []string{bad.next(), bad.next(), bad.next()}
			switch {
			case test.want == "" && (got[0] != "7 r7" || got[1] != "EOF"):
				t.Errorf("%s: got %q, want the open call's answer and the end of the connection", name, got)
			case test.want == "error" && (!strings.HasPrefix(got[0], "error ") || got[1] != "7 r7" || got[2] != "EOF"):
				t.Errorf("%s: %q, want the reason, the open call's answer and the end of the connection", name, got)
			}
		})
	}
	testkit.Await(t, "the calls", func() bool { return stub.open.Load() >= 7 })
	time.Sleep(50 * time.Millisecond)
	close(until)
	ended.Wait()
	good.expect(t, "1 r1")
	good.call(t, 2)
	good.expect(t, "2 r2")
}

// TestIdleTimeout_SparesOpenCalls checks that the idle timeout closes a connection without an open call, and does not
// close a connection with an open call.
func TestIdleTimeout_SparesOpenCalls(t *testing.T) {
	until := make(chan struct{})
	stub := &stubEngine{do: answerAfter(until)}
	_, addr := startServer(t, stub, Config{IdleTimeout: 100 * time.Millisecond})
	idle, busy := dial(t, addr), dial(t, addr)
	busy.call(t, 1)
	idle.expect(t, "EOF")
	time.Sleep(150 * time.Millisecond)
	close(until)
	busy.expect(t, "1 r1", "EOF")
}

// TestMaxCalls_QueueAndCancel checks that calls of a connection with the maximum number of open calls are queued.
// Answers arrive in any order. A cancelled call is no longer open.
func TestMaxCalls_QueueAndCancel(t *testing.T) {
	until := make(chan struct{})
	stub := new(patientEngine)
	stub.do = func(ctx context.Context, r router.Request) (router.Answer, error) {
		if r.ID == "r3" {
			return router.Answer{Body: []byte("quick")}, nil
		}
		return answerAfter(until)(ctx, r)
	}
	server, addr := startServer(t, stub, Config{MaxCalls: 3})
	client := dial(t, addr)
	client.call(t, 1, 2, 3)
	client.expect(t, "3 quick")
	var many []uint32
	for id := range uint32(500) {
		many = append(many, 100+id)
	}
	client.call(t, many...)
	testkit.Await(t, "the maximum of open calls", func() bool { return stub.open.Load() == 3 })
	time.Sleep(20 * time.Millisecond)
	if n := stub.open.Load(); n != 3 || server.Stats().Open > 4 {
		t.Errorf("%d calls are open, want 3; %+v", n, server.Stats())
	}
	close(until)
	for range 502 {
		client.expect(t, " r")
	}
	if _, err := client.Write(msgpackrpc.AppendCancel(nil, 9)); err != nil { // a cancel without an open call is ignored
		t.Fatal(err)
	}
	stub.do = answerAfter(make(chan struct{}))
	client.call(t, 10)
	testkit.Await(t, "the call", func() bool { return stub.open.Load() == 1 })
	if _, err := client.Write(msgpackrpc.AppendCancel(nil, 10)); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the cancel", func() bool { return stub.open.Load() == 0 })
}

func TestClientDisconnect_CancelsItsCalls(t *testing.T) {
	stub := &stubEngine{do: answerAfter(make(chan struct{}))}
	server, addr := startServer(t, stub, Config{})
	client := dial(t, addr)
	client.call(t, 1, 2, 3)
	testkit.Await(t, "the calls", func() bool { return stub.open.Load() == 3 })
	_ = client.Close()
	testkit.Await(t, "the end of the calls", func() bool { return stub.open.Load() == 0 && server.Stats().Conns == 0 })
}

// TestSlowReader_IsDisconnected checks that a client that does not read its answers is disconnected after the write
// timeout. Other clients are served before the timeout as well.
func TestSlowReader_IsDisconnected(t *testing.T) {
	stub := &stubEngine{do: func(context.Context, router.Request) (router.Answer, error) {
		return router.Answer{Body: make([]byte, 60<<10)}, nil
	}}
	server, addr := startServer(t, stub, Config{WriteTimeout: 300 * time.Millisecond, MaxCalls: 8})
	slow := dial(t, addr)
	go func() {
		for id := uint32(0); ; id++ {
			call := &msgpackrpc.Call{ID: fmt.Sprint("s", id), Class: "read", Timeout: time.Minute}
			if _, err := slow.Write(msgpackrpc.AppendCall(nil, id, call)); err != nil {
				return
			}
		}
	}()
	good := dial(t, addr)
	for id := range uint32(20) {
		good.call(t, id)
		good.expect(t, fmt.Sprint(id, " "))
	}
	testkit.Await(t, "the disconnect of the slow client", func() bool { return server.Stats().Conns == 1 })
}

// TestServe_EvictsIdleConnections checks that a new connection evicts the longest idle connection if all slots are in
// use. If no connection is idle, the new connection waits.
func TestServe_EvictsIdleConnections(t *testing.T) {
	until := make(chan struct{})
	stub := &stubEngine{do: answerAfter(until)}
	server, addr := startServer(t, stub, Config{MaxConns: 2})
	busy, quiet := dial(t, addr), dial(t, addr)
	busy.call(t, 1)
	testkit.Await(t, "the call", func() bool { return stub.open.Load() == 1 && server.Stats().Conns == 2 })
	third := dial(t, addr)
	third.call(t, 3)
	quiet.expect(t, "EOF")
	testkit.Await(t, "the third's call", func() bool { return stub.open.Load() == 2 })
	fourth := dial(t, addr)
	fourth.call(t, 4)
	time.Sleep(20 * time.Millisecond)
	if stub.open.Load() != 2 {
		t.Error("a third connection was accepted while both slots were in use by busy ones")
	}
	close(until)
	busy.expect(t, "1 r1")
	fourth.expect(t, "4 r4")
}

// TestShutdown_AnswersOpenCalls checks that a drain notifies clients, answers open calls, and rejects calls that
// arrive after the notification. Each connection ends after its last answer.
func TestShutdown_AnswersOpenCalls(t *testing.T) {
	until := make(chan struct{})
	stub := &stubEngine{do: answerAfter(until)}
	server, addr := startServer(t, stub, Config{})
	client, idle := dial(t, addr), dial(t, addr)
	client.call(t, 1)
	idle.call(t, 5)
	testkit.Await(t, "the calls", func() bool { return stub.open.Load() == 2 })
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(t.Context()) }()
	client.expect(t, "drain")
	idle.expect(t, "drain")
	client.call(t, 2)
	client.expect(t, "2 overloaded")
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("a new connection was accepted during the drain")
	}
	close(until)
	client.expect(t, "1 r1", "EOF")
	idle.expect(t, "5 r5", "EOF")
	_ = client.Close()
	_ = idle.Close()
	if err := testkit.Receive(t, "the drain", ended); err != nil {
		t.Error(err)
	}
}

// TestStopAccepting_ServesQueuedConnections checks that a connection in the accept queue gets an answer to its first
// call after the server stops accepting.
func TestStopAccepting_ServesQueuedConnections(t *testing.T) {
	stub := &stubEngine{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &blockedListener{TCPListener: ln.(*net.TCPListener), proceed: make(chan struct{})}
	server := New(stub, Config{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(held) }()
	client := dial(t, ln.Addr().String())
	testkit.Await(t, "Serve to accept", held.called.Load)
	server.StopAccepting()
	time.Sleep(2 * acceptQueueDrainTimeout) // the accept loop is blocked
	close(held.proceed)
	client.call(t, 1)
	received := []string{client.next(), client.next()} // the drain notification may come before or after the answer
	if !slices.Contains(received, "1 r1") || !slices.Contains(received, "drain ") {
		t.Errorf("got %q, want an answer and the notification of the drain", received)
	}
	client.expect(t, "EOF")
	_ = client.Close()
	if err := testkit.Receive(t, "the return of Serve", served); !errors.Is(err, ErrClosed) {
		t.Error(err)
	}
	server.Close()
}

// blockedListener is a listener whose Accept blocks until proceed is closed.
type blockedListener struct {
	*net.TCPListener
	called  atomic.Bool
	proceed chan struct{}
}

func (l *blockedListener) Accept() (net.Conn, error) {
	l.called.Store(true)
	<-l.proceed
	return l.TCPListener.Accept()
}

// TestShutdown_ClosesAtDeadline checks that open connections are closed and their calls cancelled if the context of a
// shutdown ends.
func TestShutdown_ClosesAtDeadline(t *testing.T) {
	stub := &stubEngine{do: answerAfter(make(chan struct{}))}
	server, addr := startServer(t, stub, Config{})
	dial(t, addr).call(t, 1)
	testkit.Await(t, "the call", func() bool { return stub.open.Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) || stub.open.Load() != 0 {
		t.Errorf("got error %v and %d open calls, want a deadline error and none", err, stub.open.Load())
	}
}

// TestNeighbours checks that clients that violate the protocol do not slow down other clients. The environment
// variable NEIGHBOURS sets the number of rounds. Each round compares the 99th percentile of the latency with and
// without such clients. The median ratio must be at most 1.2. Without the variable, the test runs one round and
// checks only that calls are answered.
func TestNeighbours(t *testing.T) {
	rounds, err := strconv.Atoi(os.Getenv("NEIGHBOURS"))
	limitChecked := err == nil && rounds > 0
	if !limitChecked {
		rounds = 1
	}
	stub := &stubEngine{}
	_, addr := startServer(t, stub, Config{MaxConns: 64})
	calls := uint32(200)
	if limitChecked {
		calls = 3000
	}
	p99 := func() time.Duration {
		c := dial(t, addr)
		var latencies []time.Duration
		for id := range calls {
			began := time.Now()
			c.call(t, id)
			c.expect(t, fmt.Sprint(id, " "))
			latencies = append(latencies, time.Since(began))
		}
		slices.Sort(latencies)
		return latencies[len(latencies)*99/100]
	}
	violations := []string{
		"\xdd\xff\xff\xff\xff", "\x94\x00", strings.Repeat("\x91", 1000), "\x94\x01\x01\xc0\x80",
	}
	var ratios []float64
	for range rounds {
		p99Alone := p99()
		ctx, cancel := context.WithCancel(t.Context())
		var bad sync.WaitGroup
		for i := range 8 {
			bad.Go(func() {
				for ctx.Err() == nil {
					violator, err := net.Dial("tcp", addr)
					if err != nil {
						return
					}
					_, _ = io.WriteString(violator, violations[i%len(violations)])
					time.Sleep(5 * time.Millisecond)
					_ = violator.Close()
				}
			})
		}
		p99WithBadClients := p99()
		cancel()
		bad.Wait()
		ratios = append(ratios, float64(p99WithBadClients)/float64(p99Alone))
		t.Logf("p99 latency: %v without bad clients, %v with them", p99Alone, p99WithBadClients)
	}
	if slices.Sort(ratios); limitChecked && ratios[rounds/2] > 1.2 {
		t.Errorf("p99 ratios %.2f, want a median of 1.2 at most", ratios)
	}
}

// TestServe_RejectsCallsInTimeWhenFull checks that calls are rejected as overloaded within 600 ms if connections with
// open calls use all slots. Other connections are idle or have sent part of a message.
func TestServe_RejectsCallsInTimeWhenFull(t *testing.T) {
	const busy, soon = 2, 600 * time.Millisecond
	for _, partial := range []bool{false, true} {
		release := make(chan struct{})
		stub := &stubEngine{do: answerAfter(release)}
		_, addr := startServer(t, stub, Config{MaxConns: busy})
		for i := range uint32(busy) {
			dial(t, addr).call(t, i)
		}
		testkit.Await(t, "the open calls", func() bool { return stub.open.Load() == busy })
		for range 2 * busy {
			if client := dial(t, addr); partial {
				_, _ = client.Write([]byte{0x94}) // first byte of a message
			}
		}
		for i := range uint32(3) {
			client := dial(t, addr)
			client.call(t, i)
			_ = client.SetDeadline(time.Now().Add(soon))
			if got := client.next(); !strings.Contains(got, string(msgpackrpc.Overloaded)) {
				t.Errorf("partial messages %v: client %d got %q, want overloaded", partial, i, got)
			}
		}
		close(release)
	}
}

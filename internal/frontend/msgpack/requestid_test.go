package msgpack

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/policy"
	"cobaltward/router"
)

// reservingEngine is a stubEngine that reserves IDs.
type reservingEngine struct {
	stubEngine
	ids          *router.Router
	queueTimeout time.Duration
	executed     atomic.Int64 // number of calls that Do has answered
}

func (e *reservingEngine) QueueTimeout() time.Duration { return e.queueTimeout }

func (e *reservingEngine) Do(ctx context.Context, r router.Request) (router.Answer, error) {
	defer e.executed.Add(1)
	return e.stubEngine.Do(ctx, r)
}

func (e *reservingEngine) ReserveID(id string) *router.IDReservation { return e.ids.ReserveID(id) }

func (e *reservingEngine) RejectDuplicate(class string) router.Answer {
	return e.ids.RejectDuplicate(class)
}

// inUse returns the number of IDs in use.
func (e *reservingEngine) inUse() int { return e.ids.Stats().IDs.Open }

// noTransport is a Transport that makes no attempts.
type noTransport struct{ router.Transport }

func (noTransport) Update(router.EndpointUpdate) {}
func (noTransport) Configure(policy.Settings)    {}
func (noTransport) Close()                       {}

func newReservingEngine(
	t *testing.T, do func(context.Context, router.Request) (router.Answer, error),
) *reservingEngine {
	t.Helper()
	settings := policy.Settings{Nodes: 1, Classes: []policy.Class{{Name: "read", Deadline: time.Minute}}}
	ids, err := router.New(router.Config{Settings: settings}, router.WithTransport(noTransport{}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ids.Close() })
	return &reservingEngine{stubEngine: stubEngine{do: do}, ids: ids, queueTimeout: time.Minute}
}

// pipeListener is a listener whose connections have no buffer: a write waits until its peer reads.
type pipeListener struct {
	net.Listener // provides Addr
	conns        chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *pipeListener) Close() error { return nil }

// dialPipe connects a client.
func (l *pipeListener) dialPipe(t *testing.T) rawClient {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(testkit.MaxWait))
	l.conns <- server
	return rawClient{client, msgpackrpc.NewReader(client)}
}

func startPipeServer(t *testing.T, engine Engine, config Config) *pipeListener {
	t.Helper()
	listener := &pipeListener{conns: make(chan net.Conn)}
	server := New(engine, config)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.StopAccepting()
		close(listener.conns)
		if err := testkit.Receive(t, "the return of Serve", served); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
		server.Close()
	})
	return listener
}

// TestID_InUseWhileQueued guards against a second run of a call that is queued behind open calls, because a copy of it
// is accepted. The ID is free once the call has left the queue without being begun.
func TestID_InUseWhileQueued(t *testing.T) {
	tests := map[string]struct {
		queueTimeout time.Duration
		leave        func(t *testing.T, client rawClient)
		open         int // calls that are still open then
	}{
		"cancel": {time.Minute, func(t *testing.T, client rawClient) {
			client.send(t, msgpackrpc.AppendCancel(nil, 2))
		}, 1},
		"disconnect": {time.Minute, func(_ *testing.T, client rawClient) { _ = client.Close() }, 0},
		"queue timeout": {100 * time.Millisecond, func(t *testing.T, client rawClient) {
			client.expect(t, "2 overloaded")
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := newReservingEngine(t, answerAfter(nil))
			engine.queueTimeout = test.queueTimeout
			listener := startPipeServer(t, engine, Config{MaxCalls: 1})
			client, other := listener.dialPipe(t), listener.dialPipe(t)
			client.call(t, 1)
			testkit.Await(t, "the first call", func() bool { return engine.open.Load() == 1 })
			client.call(t, 2)
			if test.queueTimeout == time.Minute {
				testkit.Await(t, "the ID of the queued call to be in use", func() bool { return engine.inUse() == 2 })
				other.call(t, 2)
				other.expect(t, "2 conflict")
			}
			test.leave(t, client)
			testkit.Await(t, "the ID to be free", func() bool { return engine.inUse() == test.open })
			other.call(t, 2)
			testkit.Await(t, "the call to begin", func() bool { return engine.open.Load() == int64(test.open)+1 })
		})
	}
}

// TestID_InUseUntilAnswerIsWritten guards against a second run of a call whose answer waits for a client that does not
// read. The ID is in use until the answer is written, or can no longer be written.
func TestID_InUseUntilAnswerIsWritten(t *testing.T) {
	const writeTimeout = 300 * time.Millisecond
	tests := map[string]struct {
		config Config
		end    func(t *testing.T, client rawClient)
	}{
		"client reads": {Config{}, func(t *testing.T, client rawClient) {
			client.expect(t, " r", " r")
		}},
		"client disconnects": {Config{}, func(_ *testing.T, client rawClient) { _ = client.Close() }},
		"write timeout":      {Config{WriteTimeout: writeTimeout}, func(*testing.T, rawClient) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := newReservingEngine(t, nil)
			listener := startPipeServer(t, engine, test.config)
			client, other := listener.dialPipe(t), listener.dialPipe(t)
			client.call(t, 1, 2) // the answers are written separately or together
			testkit.Await(t, "the calls to be executed", func() bool {
				return engine.executed.Load() == 2 && engine.open.Load() == 0
			})
			if test.config.WriteTimeout == 0 {
				other.call(t, 1)
				other.expect(t, "1 conflict")
				if inUse := engine.inUse(); inUse != 2 {
					t.Errorf("%d IDs in use while 2 answers are not written", inUse)
				}
			}
			test.end(t, client)
			testkit.Await(t, "the IDs to be free", func() bool { return engine.inUse() == 0 })
		})
	}
}

// TestID_InUseWhileClientReads guards against a second run of a call whose answer the node has written, but not sent,
// because its client reads slowly. The IDs become free in the order of the answers.
func TestID_InUseWhileClientReads(t *testing.T) {
	const calls, answerSize = 5, 60 << 10
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", withTLS), func(t *testing.T) {
			engine := newReservingEngine(t, func(context.Context, router.Request) (router.Answer, error) {
				return router.Answer{Body: make([]byte, answerSize)}, nil
			})
			server := startHookedEngine(t, withTLS, engine, Config{}, func(*hookedConn) {})
			client := server.clientOf(testkit.DialSlowReader(t, server.addr))
			_ = client.SetDeadline(time.Now().Add(testkit.MaxWait))
			for id := range uint32(calls) {
				client.call(t, id)
				testkit.Await(t, "the answer to be written", func() bool {
					_, busy := server.Connections()
					return engine.executed.Load() == int64(id)+1 && busy == 0
				})
			}
			time.Sleep(5 * sockets.SendCheckInterval)
			expectConflict := func(when string) {
				t.Helper()
				other := server.clientOf(dial(t, server.addr).Conn)
				other.call(t, calls-1)
				if got := other.next(); got != fmt.Sprint(calls-1, " conflict") {
					t.Errorf("%s: a copy of the last call was answered with %.20q, want a conflict", when, got)
				}
			}
			expectConflict("no answer is read")
			before := engine.inUse()
			client.expect(t, "0 ", "1 ")
			testkit.Await(t, "the IDs of the answers that were read to be free", func() bool {
				return engine.inUse() <= before-2 || engine.inUse() == 0
			})
			expectConflict("two answers are read")
			client.expect(t, "2 ", "3 ", "4 ")
			testkit.Await(t, "all IDs to be free", func() bool { return engine.inUse() == 0 })
			if executed := engine.executed.Load(); executed != calls {
				t.Errorf("%d calls executed, want %d", executed, calls)
			}
		})
	}
}

// TestID_UnsentAnswersBounded guards against memory that a client without reads could fill: only the IDs of long
// answers stay in use until the answers are sent.
func TestID_UnsentAnswersBounded(t *testing.T) {
	const longAnswers, shortAnswers = 3, 1000
	var done atomic.Int64
	engine := newReservingEngine(t, func(context.Context, router.Request) (router.Answer, error) {
		if done.Add(1) <= longAnswers {
			return router.Answer{Body: make([]byte, 60<<10)}, nil
		}
		return router.Answer{}, nil
	})
	server := startHookedEngine(t, false, engine, Config{}, func(*hookedConn) {})
	client := server.clientOf(testkit.DialSlowReader(t, server.addr))
	for id := range uint32(longAnswers + shortAnswers) {
		client.call(t, id)
		if id < longAnswers { // the long answers come first
			testkit.Await(t, "the answer to a long call", func() bool { return done.Load() == int64(id)+1 })
		}
	}
	testkit.Await(t, "the answers to be written", func() bool {
		_, busy := server.Connections()
		return done.Load() == longAnswers+shortAnswers && busy == 0
	})
	if inUse := engine.inUse(); inUse == 0 || inUse > longAnswers {
		t.Errorf("%d IDs in use, want 1 to %d", inUse, longAnswers)
	}
	_ = client.Close()
	testkit.Await(t, "the IDs to be free after a disconnect", func() bool { return engine.inUse() == 0 })
}

// TestID_FreeAfterCancel checks that the ID of a call that is cancelled is released.
func TestID_FreeAfterCancel(t *testing.T) {
	engine := newReservingEngine(t, answerAfter(nil))
	listener := startPipeServer(t, engine, Config{})
	client := listener.dialPipe(t)
	client.call(t, 1)
	testkit.Await(t, "the call", func() bool { return engine.open.Load() == 1 })
	if inUse := engine.inUse(); inUse != 1 {
		t.Errorf("%d IDs in use during a call, want 1", inUse)
	}
	if _, err := client.Write(msgpackrpc.AppendCancel(nil, 1)); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the ID to be free", func() bool { return engine.inUse() == 0 })
}

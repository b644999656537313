package msgpack

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/body"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// TestCalls_BehindOpenCallsAnsweredInTime guards against calls that were written whole and are answered late or never,
// because nothing is read from a connection with the maximum number of open calls.
func TestCalls_BehindOpenCallsAnsweredInTime(t *testing.T) {
	const maxCalls, behind, rounds, wait = 4, 40, 3, 400 * time.Millisecond
	for _, front := range fronts {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			stub := &stubEngine{do: answerAfter(nil)}
			client := startFront(t, front, stub, Config{MaxCalls: maxCalls}).connect(t)
			next := uint32(1)
			for range rounds { // the maximum is met again and again
				var frames, cancels []byte
				for range maxCalls {
					frames = appendCall(frames, next, "read", time.Minute)
					cancels = msgpackrpc.AppendCancel(cancels, next)
					next++
				}
				client.send(t, frames)
				testkit.Await(t, "the maximum of open calls", func() bool { return stub.open.Load() == maxCalls })
				frames = nil
				for range behind {
					frames = appendCall(frames, next, "read", wait)
					next++
				}
				client.send(t, frames)
				written := time.Now()
				_ = client.SetReadDeadline(written.Add(wait + maxLateness))
				for range behind {
					client.expect(t, " overloaded")
				}
				_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
				client.send(t, cancels)
				testkit.Await(t, "the end of the open calls", func() bool { return stub.open.Load() == 0 })
			}
		})
	}
}

// recordingEngine is an engine that records the IDs of the calls that it has begun.
type recordingEngine struct {
	patientEngine
	mu    sync.Mutex
	begun map[string]bool
}

func newRecordingEngine(do func(context.Context, router.Request) (router.Answer, error)) *recordingEngine {
	engine := &recordingEngine{begun: make(map[string]bool)}
	engine.do = func(ctx context.Context, r router.Request) (router.Answer, error) {
		engine.mu.Lock()
		engine.begun[r.ID] = true
		engine.mu.Unlock()
		return do(ctx, r)
	}
	return engine
}

func (e *recordingEngine) hasBegun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id]
}

// startQueuedCalls starts a server, whose calls end only with their clients, and sends calls with the given IDs on a
// connection. It returns when the first call has begun.
func startQueuedCalls(
	t *testing.T, front string, config Config, ids ...uint32,
) (*recordingEngine, *hookedServer, rawClient) {
	t.Helper()
	engine := newRecordingEngine(answerAfter(nil))
	server := startFront(t, front, engine, config)
	client := server.connect(t)
	client.call(t, ids...)
	testkit.Await(t, "the first call", func() bool { return engine.hasBegun(fmt.Sprintf("r%d", ids[0])) })
	return engine, server, client
}

// TestCancel_BehindOpenCalls guards against cancel notifications that are not read while the maximum number of calls is
// open: an open call must end, and a call that waits must not begin after its cancel.
func TestCancel_BehindOpenCalls(t *testing.T) {
	for _, front := range fronts {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			engine, server, client := startQueuedCalls(t, front, Config{MaxCalls: 1}, 1, 2, 3)
			client.send(t, msgpackrpc.AppendCancel(msgpackrpc.AppendCancel(nil, 2), 1))
			testkit.Await(t, "the third call", func() bool { return engine.hasBegun("r3") })
			if engine.hasBegun("r2") {
				t.Error("a call was begun after its cancel")
			}
			if stats := server.Stats(); stats.Open != 1 || stats.Queued != 0 {
				t.Errorf("%+v, want one open call", stats)
			}
		})
	}
}

// TestClientDisconnect_DiscardsQueuedCalls guards against calls that are begun after their client has disconnected,
// and against a disconnect that is not noticed while the maximum number of calls is open.
func TestClientDisconnect_DiscardsQueuedCalls(t *testing.T) {
	for _, front := range fronts {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			budget := body.NewBudget(1 << 20)
			engine, server, client := startQueuedCalls(t, front, Config{MaxCalls: 1, Bodies: budget}, 1, 2, 3)
			testkit.Await(t, "the queued calls", func() bool { return server.Stats().Queued == 2 })
			_ = client.Close()
			testkit.Await(t, "the end of the calls", func() bool {
				stats := server.Stats()
				return engine.open.Load() == 0 && stats.Queued == 0 && stats.Conns == 0
			})
			if engine.hasBegun("r2") || engine.hasBegun("r3") || budget.Used() > 0 {
				t.Errorf("begun: %v, %d bytes of bodies in use; want the first call alone and none", engine.begun, budget.Used())
			}
		})
	}
}

// TestQueue_TimeBeginsWithArrival checks when a queued call is rejected: after the queue timeout of the engine, or
// after half of the time that its client waits.
func TestQueue_TimeBeginsWithArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(&stubEngine{do: serveAfter(time.Minute)}, Config{MaxCalls: 1})
		defer server.Close()
		client := connectPipe(t, server)
		frames := appendCall(nil, 1, "read", time.Minute)
		frames = appendCall(frames, 2, "read", time.Minute)
		frames = appendCall(frames, 3, "read", 100*time.Millisecond)
		client.send([][]byte{frames}, []time.Duration{0})
		synctest.Wait()
		for _, step := range []struct {
			until   time.Duration
			queued  int
			timeout uint64
		}{
			{0, 2, 0},
			{49 * time.Millisecond, 2, 0},
			{50 * time.Millisecond, 1, 1},
			{299 * time.Millisecond, 1, 1},
			{300 * time.Millisecond, 0, 2},
		} {
			time.Sleep(time.Until(client.server.openedAt.Add(step.until)))
			synctest.Wait()
			if stats := server.Stats(); stats.Queued != step.queued || stats.QueueTimeouts != step.timeout {
				t.Errorf("after %v: %+v, want %d calls queued and %d rejected", step.until, stats, step.queued, step.timeout)
			}
		}
		client.checkOpen(t)
		client.checkAnswers(t, 2, 3, msgpackrpc.Overloaded)
	})
}

// TestQueue_IsBounded checks that the queues of all connections hold at most as many calls as the server may have open.
func TestQueue_IsBounded(t *testing.T) {
	const maxTotal = 3
	synctest.Test(t, func(t *testing.T) {
		server := New(&stubEngine{do: serveAfter(time.Hour)}, Config{MaxCalls: 1, MaxTotalCalls: maxTotal})
		defer server.Close()
		for range 2 {
			client := connectPipe(t, server)
			client.send(callFrames(maxTotal+1), make([]time.Duration, maxTotal+1))
			defer func() { _ = client.Close() }()
		}
		synctest.Wait()
		if stats := server.Stats(); stats.Open != 2 || stats.Queued != maxTotal {
			t.Errorf("%+v, want 2 open calls and %d queued", stats, maxTotal)
		}
	})
}

// TestAnswers_UnwrittenAreBounded guards against memory that a client without reads could fill. Nothing is read from it
// while many answers are unwritten. A queued call whose cancel arrives meanwhile must not be begun.
func TestAnswers_UnwrittenAreBounded(t *testing.T) {
	const calls = 1000
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", withTLS), func(t *testing.T) {
			unblock, answer := make(chan struct{}), make(chan struct{})
			engine := newRecordingEngine(func(ctx context.Context, r router.Request) (router.Answer, error) {
				if r.ID == "r1" {
					return router.Answer{Body: []byte(r.ID)}, nil
				}
				return answerAfter(answer)(ctx, r)
			})
			server := startHookedEngine(t, withTLS, engine, Config{MaxCalls: 1}, func(c *hookedConn) {
				c.beforeSecondWrite = func() { <-unblock }
			})
			client := server.dial(t) // the answer to the first call is written
			client.call(t, 2, 3)
			testkit.Await(t, "the calls", func() bool { return engine.hasBegun("r2") && server.Stats().Queued == 1 })
			var frames []byte
			for id := range uint32(calls) {
				frames = appendCall(frames, 100+id, "none", time.Minute)
			}
			client.send(t, msgpackrpc.AppendCancel(frames, 3))
			const received = 3 + maxUnwrittenLocal
			testkit.Await(t, "the maximum of unwritten answers", func() bool { return server.Stats().Calls == received })
			close(answer)
			time.Sleep(2 * cancelGrace)
			if stats := server.Stats(); stats.Calls != received {
				t.Errorf("%d calls received, want %d", stats.Calls, received)
			}
			close(unblock)
			for range calls + 1 {
				client.expect(t, " ")
			}
			client.call(t, 4)
			client.expect(t, "4 r4")
			if engine.hasBegun("r3") {
				t.Error("a call was begun after its cancel")
			}
		})
	}
}

// callHistory is a random sequence of calls and cancels in virtual time, with the answers.
type callHistory struct {
	seed     uint64
	random   *rand.Rand // used by the client alone
	maxCalls int

	mu        sync.Mutex
	open      int
	problems  []string
	cancelled map[string]time.Time
	deadlines map[uint32]time.Time
	answered  map[uint32]time.Time
}

// report records a problem. h.mu is held.
func (h *callHistory) report(format string, args ...any) {
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// do is the engine: it serves some calls quickly, and others not before their deadline.
func (h *callHistory) do(ctx context.Context, r router.Request) (router.Answer, error) {
	deadline := r.ReceivedAt.Add(r.Timeout)
	h.mu.Lock()
	if at, ok := h.cancelled[r.ID]; ok && time.Since(at) > cancelGrace {
		h.report("%s was begun %v after its cancel", r.ID, time.Since(at))
	}
	if h.open++; h.open > h.maxCalls {
		h.report("%d calls are open, want %d at most", h.open, h.maxCalls)
	}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
	}()
	select {
	case <-time.After(min(h.duration(r.ID), time.Until(deadline))):
	case <-ctx.Done():
		return router.Answer{}, ctx.Err()
	}
	if time.Now().Before(deadline) {
		return router.Answer{Body: []byte(r.ID)}, nil
	}
	return router.Answer{Outcome: router.Expired}, nil
}

// duration returns how long the call with the given ID runs.
func (h *callHistory) duration(id string) time.Duration {
	var number uint64
	_, _ = fmt.Sscanf(id, "r%d", &number)
	random := rand.New(rand.NewPCG(h.seed, 1+number))
	if random.IntN(3) == 0 {
		return time.Hour
	}
	return time.Duration(random.IntN(100)) * time.Millisecond
}

// receive records the answers until the connection ends.
func (h *callHistory) receive(client *pipeClient) {
	defer close(client.ended)
	in := msgpackrpc.NewReader(client)
	for {
		frame, err := in.Next()
		if err != nil {
			return
		}
		message, err := msgpackrpc.Parse(frame)
		h.mu.Lock()
		switch {
		case err != nil || message.Kind != msgpackrpc.Response:
			h.report("unexpected message: %v", describe(frame))
		case !h.answered[message.ID].IsZero():
			h.report("call %d: second answer", message.ID)
		}
		h.answered[message.ID] = time.Now()
		h.mu.Unlock()
	}
}

// send sends calls in bursts, and cancels some of them.
func (h *callHistory) send(client *pipeClient, calls int) {
	for id := range uint32(calls) {
		timeout := time.Duration(50+h.random.IntN(1500)) * time.Millisecond
		_, _ = client.Write(appendCall(nil, id, "read", timeout))
		h.mu.Lock()
		h.deadlines[id] = time.Now().Add(timeout)
		victim := id - min(id, uint32(h.random.IntN(20)))
		isOpen := h.answered[victim].IsZero()
		h.mu.Unlock()
		pause := time.Duration(h.random.IntN(10)) * time.Millisecond
		if h.random.IntN(50) == 0 {
			pause = time.Second
		}
		if h.random.IntN(5) == 0 && isOpen {
			_, _ = client.Write(msgpackrpc.AppendCancel(nil, victim))
			h.mu.Lock()
			h.cancelled[fmt.Sprint("r", victim)] = time.Now()
			h.mu.Unlock()
		}
		time.Sleep(pause)
	}
}

// TestCalls_RandomHistories checks, for random calls, cancels and durations, that each call that is not cancelled gets
// one answer in time, that no call begins after its cancel, and that the maximum of open calls is kept.
func TestCalls_RandomHistories(t *testing.T) {
	const seeds, calls = 40, 400
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				h := &callHistory{
					seed: seed, random: random, maxCalls: 1 + random.IntN(8), cancelled: make(map[string]time.Time),
					deadlines: make(map[uint32]time.Time), answered: make(map[uint32]time.Time),
				}
				budget := body.NewBudget(1 << 20)
				engine := &stubEngine{do: h.do}
				server := New(engine, Config{MaxCalls: h.maxCalls, MaxTotalCalls: 2 + random.IntN(16), Bodies: budget})
				defer server.Close()
				client := connectPipeTo(t, server, h.receive)
				h.send(client, calls)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				h.check(t, calls)
				stats := server.Stats()
				if stats.Open+stats.Queued > 0 || server.totalCalls.Load() > 0 || budget.Used() > 0 || stats.Conns != 1 {
					t.Errorf("at the end: %+v, %d calls counted, %d bytes used", stats, server.totalCalls.Load(), budget.Used())
				}
				_ = client.Close()
				<-client.ended
			})
		})
	}
}

// check reports the problems of the history, and calls that got no answer in time.
func (h *callHistory) check(t *testing.T, calls int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, problem := range h.problems {
		t.Error(problem)
	}
	for id := range uint32(calls) {
		if _, ok := h.cancelled[fmt.Sprint("r", id)]; ok {
			continue
		}
		if late := h.answered[id].Sub(h.deadlines[id]); h.answered[id].IsZero() || late > maxLateness {
			t.Errorf("call %d: answered %v after its deadline, at %v", id, late, h.answered[id])
		}
	}
}

package msgpack

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// Tests in the virtual time of package synctest use messageTimeout as the timeout of a message. messageDuration is the
// maximum time that their clients take for a message, from its first byte to its last.
const (
	messageTimeout  = time.Second
	messageDuration = 900 * time.Millisecond
)

// pipeClient is a client that is connected through a net.Pipe.
type pipeClient struct {
	net.Conn
	server *conn // the server's side

	// The following fields may be read once ended is closed.
	ended   chan struct{}     // closed at the end of the connection
	endedAt time.Time         // end of the connection
	answers map[uint32]string // descriptions of the answers, by msgid
}

// connectPipe connects a client to server.
func connectPipe(t *testing.T, server *Server) *pipeClient {
	return connectPipeTo(t, server, (*pipeClient).receive)
}

// connectPipeTo is connectPipe for a client that calls receive to receive its answers.
func connectPipeTo(t *testing.T, server *Server, receive func(*pipeClient)) *pipeClient {
	near, far := net.Pipe()
	if !server.admit(far, time.Now()) {
		t.Fatal("the server is closed")
	}
	client := &pipeClient{Conn: near, ended: make(chan struct{}), answers: make(map[uint32]string)}
	for conn := range server.conns {
		if conn.nc == far {
			client.server = conn
		}
	}
	go receive(client)
	return client
}

// receive records answers until the connection ends.
func (c *pipeClient) receive() {
	defer close(c.ended)
	in := msgpackrpc.NewReader(c)
	for {
		frame, err := in.Next()
		if err != nil {
			c.endedAt = time.Now()
			return
		}
		text := describe(frame)
		var msgid uint32
		if _, err := fmt.Sscan(text, &msgid); err == nil { // not a notification
			c.answers[msgid] = text
		}
	}
}

// send writes pieces until a write fails. pauses are the pauses after the writes.
func (c *pipeClient) send(pieces [][]byte, pauses []time.Duration) {
	for i, piece := range pieces {
		if _, err := c.Write(piece); err != nil {
			return
		}
		time.Sleep(pauses[i])
	}
}

// checkOpen checks that the server has not ended the connection, and closes it.
func (c *pipeClient) checkOpen(t *testing.T) {
	t.Helper()
	synctest.Wait()
	select {
	case <-c.ended:
		t.Error("the server ended the connection")
	default:
	}
	_ = c.Close()
	<-c.ended
}

// checkAnswers checks the answers to the calls with the msgids from first to last. Each answer must be the result of
// the call or the code alternative.
func (c *pipeClient) checkAnswers(t *testing.T, first, last uint32, alternative msgpackrpc.Code) {
	t.Helper()
	for id := first; id <= last; id++ {
		answer := c.answers[id]
		if answer != fmt.Sprintf("%d r%d", id, id) && answer != fmt.Sprintf("%d %s", id, alternative) {
			t.Errorf("call %d: got answer %q", id, answer)
		}
	}
}

// callFrames returns n encoded calls with the msgids from 1 on.
func callFrames(n int) [][]byte {
	frames := make([][]byte, n)
	for i := range frames {
		call := &msgpackrpc.Call{ID: fmt.Sprint("r", i+1), Class: "read", Timeout: time.Minute}
		frames[i] = msgpackrpc.AppendCall(nil, uint32(i+1), call)
	}
	return frames
}

// cutMessages cuts each message into its first offset bytes and the rest, and joins each rest with the first part of
// the next message. A negative offset counts from the end of the message.
func cutMessages(messages [][]byte, offset int) [][]byte {
	var pieces [][]byte
	var rest []byte
	for _, message := range messages {
		border := offset
		if border < 0 {
			border += len(message)
		}
		pieces = append(pieces, slices.Concat(rest, message[:border]))
		rest = message[border:]
	}
	return append(pieces, rest)
}

// joinPairs joins each two messages.
func joinPairs(messages [][]byte) [][]byte {
	var pairs [][]byte
	for pair := range slices.Chunk(messages, 2) {
		pairs = append(pairs, slices.Concat(pair...))
	}
	return pairs
}

// cutEvery cuts the stream of messages into pieces of the given size.
func cutEvery(messages [][]byte, size int) [][]byte {
	return slices.Collect(slices.Chunk(slices.Concat(messages...), size))
}

// serveAfter returns a function for stubEngine.do that answers a call after delay, unless the call is cancelled.
func serveAfter(delay time.Duration) func(context.Context, router.Request) (router.Answer, error) {
	return func(ctx context.Context, r router.Request) (router.Answer, error) {
		select {
		case <-time.After(delay):
			return router.Answer{Body: []byte(r.ID)}, nil
		case <-ctx.Done():
			return router.Answer{}, ctx.Err()
		}
	}
}

// checkAllServed checks that a client that writes pieces to a server gets the results of all its calls, and that the
// connection stays open. pauses are the pauses after the writes.
func checkAllServed(t *testing.T, pieces [][]byte, pauses []time.Duration, calls uint32) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server := New(&stubEngine{do: serveAfter(2 * messageTimeout)}, Config{MessageTimeout: messageTimeout})
		defer server.Close()
		client := connectPipe(t, server)
		client.send(pieces, pauses)
		time.Sleep(3 * messageTimeout)
		client.checkOpen(t)
		client.checkAnswers(t, 1, calls, "")
		synctest.Wait()
		if stats := server.Stats(); stats.Calls != uint64(calls) || stats.Timeouts+stats.Incomplete > 0 {
			t.Errorf("%+v, want %d calls and no incomplete message", stats, calls)
		}
	})
}

// TestMessageTimeout_BeginsWithEachMessage guards against open calls that are cut off because the timeout of a message
// runs on into the next messages. No message takes longer than messageDuration; all together take much longer.
func TestMessageTimeout_BeginsWithEachMessage(t *testing.T) {
	const calls = 20
	frames := callFrames(calls)
	longest := len(frames[calls-1])
	for name, test := range map[string]struct {
		pieces [][]byte
		pause  time.Duration
	}{
		"whole messages":             {frames, messageDuration},
		"cut in the middle":          {cutMessages(frames, 20), messageDuration},
		"cut after the first byte":   {cutMessages(frames, 1), messageDuration},
		"cut before the last byte":   {cutMessages(frames, -1), messageDuration},
		"two messages in each piece": {cutMessages(joinPairs(frames), 20), messageDuration},
		"single bytes":               {cutEvery(frames, 1), messageDuration / time.Duration(longest)},
		"pieces of 7 bytes":          {cutEvery(frames, 7), messageDuration / time.Duration(longest/7+1)},
		"pieces of 100 bytes":        {cutEvery(frames, 100), messageDuration},
	} {
		t.Run(name, func(t *testing.T) {
			checkAllServed(t, test.pieces, slices.Repeat([]time.Duration{test.pause}, len(test.pieces)), calls)
		})
	}
}

// randomPieces cuts the stream of messages into pieces of random sizes, and returns them with random pauses after
// them. No message takes longer than messageDuration from its first byte to its last.
func randomPieces(random *rand.Rand, messages [][]byte) (pieces [][]byte, pauses []time.Duration) {
	var piece []byte
	for i, message := range messages {
		remaining := messageDuration
		for len(message) > 0 {
			size := 1 + random.IntN(len(message))
			piece = append(piece, message[:size]...)
			message = message[size:]
			isLast := len(message) == 0 && i == len(messages)-1
			if !isLast && random.IntN(2) == 0 {
				continue // the next bytes are written together with these
			}
			pause := time.Duration(random.Int64N(int64(remaining) + 1))
			remaining -= pause
			pieces, pauses = append(pieces, piece), append(pauses, pause)
			piece = nil
		}
	}
	return pieces, pauses
}

// TestMessageTimeout_RandomPieces is TestMessageTimeout_BeginsWithEachMessage with seeded random pieces and pauses.
func TestMessageTimeout_RandomPieces(t *testing.T) {
	const seeds, calls = 100, 50
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			pieces, pauses := randomPieces(rand.New(rand.NewPCG(seed, 0)), callFrames(calls))
			checkAllServed(t, pieces, pauses, calls)
		})
	}
}

// TestMessageTimeout_StalledMessage checks that the timeout still ends a connection whose client stalls within a
// message, at messageTimeout after the first byte of that message.
func TestMessageTimeout_StalledMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 20
		server := New(&stubEngine{}, Config{MessageTimeout: messageTimeout})
		defer server.Close()
		client := connectPipe(t, server)
		pieces := cutMessages(callFrames(calls), 20)
		client.send(pieces[:calls], slices.Repeat([]time.Duration{messageDuration}, calls))
		stalledAt := time.Now().Add(-messageDuration)
		<-client.ended
		client.checkAnswers(t, 1, calls-1, "")
		if got := client.endedAt.Sub(stalledAt); got != messageTimeout {
			t.Errorf("the connection ended %v after the first byte, want %v", got, messageTimeout)
		}
		synctest.Wait()
		if stats := server.Stats(); stats.Timeouts != 1 {
			t.Errorf("%+v, want one timeout", stats)
		}
	})
}

// TestMessageTimeout_DuringDrain guards against open calls that are cut off during a drain because the timeout of a
// message runs on into the next messages. Calls that arrive after the drain notification are rejected.
func TestMessageTimeout_DuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, callsBeforeDrain = 10, 3
		server := New(&stubEngine{do: serveAfter(calls * messageTimeout)}, Config{MessageTimeout: messageTimeout})
		defer server.Close()
		client := connectPipe(t, server)
		pieces := cutMessages(callFrames(calls), 20)
		pauses := slices.Repeat([]time.Duration{messageDuration}, len(pieces))
		client.send(pieces[:callsBeforeDrain+1], pauses)
		server.StopAccepting()
		client.send(pieces[callsBeforeDrain+1:], pauses)
		<-client.ended
		client.checkAnswers(t, 1, callsBeforeDrain, "")
		client.checkAnswers(t, callsBeforeDrain+1, calls, msgpackrpc.Overloaded)
		synctest.Wait()
		if stats := server.Stats(); stats.Timeouts > 0 {
			t.Errorf("%+v, want no timeout", stats)
		}
	})
}

// TestMessageTimeout_WhileCallsAreQueued guards against open calls that are cut off because a message is incomplete
// while the maximum number of calls is open.
func TestMessageTimeout_WhileCallsAreQueued(t *testing.T) {
	const calls = 4
	frames := callFrames(calls)
	first, rest := frames[0], slices.Concat(frames[1:]...)
	pieces := [][]byte{first[:20], slices.Concat(first[20:], rest[:len(rest)-1]), rest[len(rest)-1:]}
	synctest.Test(t, func(t *testing.T) {
		engine := &patientEngine{stubEngine{do: serveAfter(2 * messageTimeout)}}
		server := New(engine, Config{MaxCalls: 2, MessageTimeout: messageTimeout})
		defer server.Close()
		client := connectPipe(t, server)
		client.send(pieces, make([]time.Duration, len(pieces)))
		time.Sleep(5 * messageTimeout)
		client.checkOpen(t)
		client.checkAnswers(t, 1, calls, "")
	})
}

// TestMessageTimeout_OpenCallsAnswered guards against open calls that get no answer because a later message on their
// connection stalls. The client may send the rest of the message, and other bytes, until it has the answers.
func TestMessageTimeout_OpenCallsAnswered(t *testing.T) {
	const calls = 3
	for _, rest := range []bool{false, true} {
		t.Run(fmt.Sprint("client continues ", rest), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &patientEngine{stubEngine{do: serveAfter(2 * messageTimeout)}}
				server := New(engine, Config{MaxCalls: calls - 1, MessageTimeout: messageTimeout}) // the last call is queued
				defer server.Close()
				client := connectPipe(t, server)
				frames := callFrames(calls + 1)
				client.send([][]byte{slices.Concat(frames[:calls]...), frames[calls][:20]}, make([]time.Duration, 2))
				if rest {
					time.Sleep(messageTimeout + messageTimeout/2)
					client.send([][]byte{frames[calls][20:], frames[calls]}, make([]time.Duration, 2))
				}
				<-client.ended
				client.checkAnswers(t, 1, calls, "")
				synctest.Wait()
				if stats := server.Stats(); stats.Timeouts != 1 || stats.Conns != 0 {
					t.Errorf("%+v, want a timeout and no connection", stats)
				}
			})
		})
	}
}

// TestProtocolViolation_ClientDisconnects guards against calls that continue, or begin, after their client has
// violated the protocol and disconnected.
func TestProtocolViolation_ClientDisconnects(t *testing.T) {
	for _, front := range fronts {
		t.Run(front, func(t *testing.T) {
			t.Parallel()
			engine, server, client := startQueuedCalls(t, front, Config{MaxCalls: 1}, 1, 2)
			client.send(t, []byte{0x07})
			client.expect(t, "error")
			_ = client.Close()
			testkit.Await(t, "the end of the calls", func() bool { return engine.open.Load() == 0 && server.Stats().Conns == 0 })
			if engine.hasBegun("r2") {
				t.Error("a queued call was begun after its client had disconnected")
			}
		})
	}
}

// TestMessageTimeout_EvictedOverflowConnection guards against an eviction that treats a message as overdue because the
// timeout has run on from earlier messages. The client of an overflow connection stalls within a message that has just
// begun.
func TestMessageTimeout_EvictedOverflowConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 5
		server := New(&stubEngine{do: serveAfter(time.Minute)}, Config{MaxConns: 1, MessageTimeout: messageTimeout})
		defer server.Close()
		busy := connectPipe(t, server)
		busy.send(callFrames(1), make([]time.Duration, 1))
		synctest.Wait()
		overflow := connectPipe(t, server)
		pieces := cutMessages(callFrames(calls+1), 20)
		overflow.send(pieces[:calls+1], slices.Repeat([]time.Duration{messageDuration}, calls+1))
		server.mu.Lock()
		evicted := server.evict()
		server.mu.Unlock()
		if !evicted {
			t.Fatal("the overflow connection was not evicted")
		}
		<-overflow.ended
		overflow.checkAnswers(t, 1, calls, msgpackrpc.Overloaded)
		synctest.Wait()
		if stats := server.Stats(); stats.EvictionEnds != 1 || stats.Timeouts > 0 {
			t.Errorf("%+v, want an eviction within a message and no timeout", stats)
		}
		_ = busy.Close()
	})
}

// TestMessageTimeout_DeadlinesOnSockets checks the read deadlines on TCP connections with and without TLS. A read that
// completes a message and returns the first part of the next message begins a new timeout.
func TestMessageTimeout_DeadlinesOnSockets(t *testing.T) {
	const calls = 5
	for _, withTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", withTLS), func(t *testing.T) {
			conns := make(chan *hookedConn, 1)
			config := Config{MessageTimeout: time.Hour, IdleTimeout: time.Minute}
			server := startHookedServer(t, withTLS, &stubEngine{}, config, func(c *hookedConn) { conns <- c })
			client := server.dial(t)
			conn := testkit.Receive(t, "the connection", conns)
			for i, piece := range cutMessages(callFrames(calls), 20)[:calls] {
				writtenAt := time.Now()
				if _, err := client.Write(piece); err != nil {
					t.Fatal(err)
				}
				if i > 0 {
					client.expect(t, fmt.Sprintf("%d r%d", i, i))
				}
				testkit.Await(t, "the deadline of the message that has begun", func() bool {
					deadline := conn.deadline.Load() // nil until the reader has set the deadline of its second read
					return deadline != nil && !deadline.Before(writtenAt.Add(config.MessageTimeout))
				})
			}
		})
	}
}

// TestDrain_EndsWithinMessageTimeout checks how long a drain keeps an idle connection whose client has begun a message.
// It waits for the rest of the message for as long as the message may take, and not for messages that begin later than
// lateCallTimeout after the notification.
func TestDrain_EndsWithinMessageTimeout(t *testing.T) {
	const calls = 20
	frames := callFrames(calls)
	for name, test := range map[string]struct {
		pieces [][]byte
		pause  time.Duration
		want   time.Duration // time from the notification to the end of the connection
	}{
		"message stalls":    {[][]byte{slices.Concat(frames[0], frames[1][:20])}, 0, messageTimeout},
		"messages continue": {cutMessages(frames, 20), 150 * time.Millisecond, 300 * time.Millisecond},
		"no message":        {frames[:1], 0, lateCallTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := New(&stubEngine{}, Config{MessageTimeout: messageTimeout})
				defer server.Close()
				client := connectPipe(t, server)
				client.send(test.pieces[:1], []time.Duration{test.pause})
				notifiedAt := time.Now()
				server.StopAccepting()
				client.send(test.pieces[1:], slices.Repeat([]time.Duration{test.pause}, len(test.pieces)))
				<-client.ended
				if got := client.endedAt.Sub(notifiedAt); got < test.want || got > test.want+drainRecheckInterval {
					t.Errorf("the connection ended after %v, want %v", got, test.want)
				}
			})
		})
	}
}

package msgpack

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// heldConn is a client's connection. While hold is true, only the first half of each write is sent.
type heldConn struct {
	net.Conn
	hold bool
	held []byte // the second half of the last write
}

func (c *heldConn) Write(p []byte) (int, error) {
	if !c.hold {
		return c.Conn.Write(p)
	}
	c.held = append([]byte(nil), p[len(p)/2:]...)
	_, err := c.Conn.Write(p[:len(p)/2])
	return len(p), err
}

// partialCall is a call that a client has sent in part. The server has read this part.
type partialCall struct {
	rawClient
	conn     *hookedConn // the server's side
	sendRest func(t *testing.T)
}

// expireReadDeadline makes the current read of the server fail as at the idle timeout, and waits for the next read.
func (c partialCall) expireReadDeadline(t *testing.T) {
	reads := c.conn.reads.Load()
	testkit.Await(t, "the next read", func() bool {
		_ = c.conn.SetReadDeadline(time.Now())
		return c.conn.reads.Load() > reads
	})
}

// sendPartialCall connects a client to the server, and sends a part of its second call. If withinRecord is set, the
// part ends within a TLS record.
func (s *hookedServer) sendPartialCall(t *testing.T, conns <-chan *hookedConn, withinRecord bool) partialCall {
	t.Helper()
	held := &heldConn{Conn: dial(t, s.addr).Conn}
	client := s.clientOf(held)
	client.call(t, 1)
	client.expect(t, "1 r1")
	conn := testkit.Receive(t, "the connection", conns)
	frame := callFrames(2)[1]
	send := func(t *testing.T, part []byte) {
		if _, err := client.Write(part); err != nil {
			t.Error(err)
		}
	}
	if withinRecord {
		held.hold = true
		send(t, frame)
		testkit.Await(t, "a part of a record", conn.WithinRecord)
		return partialCall{client, conn, func(t *testing.T) {
			held.hold = false
			if _, err := held.Conn.Write(held.held); err != nil {
				t.Error(err)
			}
		}}
	}
	send(t, frame[:20])
	testkit.Await(t, "the read of the rest", func() bool { return conn.reads.Load() > 2 })
	return partialCall{client, conn, func(t *testing.T) { send(t, frame[20:]) }}
}

// testPartialCalls runs test with a call that the server has read in part: a part of a message without TLS, a part of a
// message that is a TLS record of its own, and a part of a TLS record.
func testPartialCalls(t *testing.T, config Config, test func(*testing.T, *hookedServer, partialCall)) {
	t.Helper()
	for _, cut := range []struct{ withTLS, withinRecord bool }{{false, false}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("TLS %v/within a record %v", cut.withTLS, cut.withinRecord), func(t *testing.T) {
			conns := make(chan *hookedConn, 2)
			server := startHookedServer(t, cut.withTLS, &stubEngine{}, config, func(c *hookedConn) { conns <- c })
			test(t, server, server.sendPartialCall(t, conns, cut.withinRecord))
		})
	}
}

// checkAnswered checks that the client receives what want says, and that no call is lost.
func (c partialCall) checkAnswered(t *testing.T, server *hookedServer, want ...string) {
	t.Helper()
	c.expect(t, want...)
	_ = c.Close()
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.IdleEnds+stats.DrainEnds+stats.Timeouts+stats.Incomplete > 0 {
		t.Errorf("%+v, want no lost call", stats)
	}
}

// TestDrain_AwaitsPartialCall guards against calls that get no answer because a drain closes their connection while
// they arrive.
func TestDrain_AwaitsPartialCall(t *testing.T) {
	testPartialCalls(t, Config{MessageTimeout: time.Hour}, func(t *testing.T, server *hookedServer, call partialCall) {
		server.StopAccepting()
		call.expect(t, "drain")
		time.Sleep(2 * lateCallTimeout)
		call.sendRest(t)
		call.checkAnswered(t, server, "2 overloaded", "EOF")
	})
}

// TestIdleEnd_AwaitsPartialCall guards against calls that get no answer because their connection reaches the idle
// timeout while they arrive.
func TestIdleEnd_AwaitsPartialCall(t *testing.T) {
	testPartialCalls(t, Config{MessageTimeout: time.Hour}, func(t *testing.T, server *hookedServer, call partialCall) {
		call.expireReadDeadline(t)
		call.sendRest(t)
		call.checkAnswered(t, server, "2 r2")
	})
}

// TestEvict_AwaitsPartialCall guards against calls that get no answer because their connection is evicted while they
// arrive.
func TestEvict_AwaitsPartialCall(t *testing.T) {
	config := Config{MaxConns: 1, MessageTimeout: time.Hour}
	testPartialCalls(t, config, func(t *testing.T, server *hookedServer, call partialCall) {
		waiting := server.clientOf(dial(t, server.addr).Conn)
		waiting.call(t, 1)
		waiting.expect(t, "1 ") // served after the eviction, or rejected on an overflow connection
		call.sendRest(t)
		if got := call.next(); got != "2 overloaded" && got != "2 r2" {
			t.Errorf("got %q, want an answer", got)
		}
		if stats := server.Stats(); stats.EvictionEnds+stats.Timeouts+stats.Incomplete > 0 {
			t.Errorf("%+v, want no lost call", stats)
		}
	})
}

// TestPartialCall_StallEndsConnection checks that a connection ends, and is counted once, if the rest of a call does
// not arrive within MessageTimeout. The connection reaches the idle timeout or is drained.
func TestPartialCall_StallEndsConnection(t *testing.T) {
	config := Config{MessageTimeout: 300 * time.Millisecond}
	for _, drains := range []bool{false, true} {
		t.Run(fmt.Sprint("drain ", drains), func(t *testing.T) {
			testPartialCalls(t, config, func(t *testing.T, server *hookedServer, call partialCall) {
				if drains {
					server.StopAccepting()
				} else {
					call.expireReadDeadline(t)
				}
				testkit.Await(t, "the end of the connection", func() bool {
					stats := server.Stats()
					return stats.Timeouts+stats.DrainEnds == 1
				})
				_ = call.Close()
				testkit.Await(t, "the release of the connection", func() bool { return server.Stats().Conns == 0 })
				if stats := server.Stats(); stats.Timeouts+stats.DrainEnds != 1 || stats.Incomplete+stats.IdleEnds > 0 {
					t.Errorf("%+v, want one timeout or end by the drain", stats)
				}
			})
		})
	}
}

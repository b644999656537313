package racetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// ways are how a client leaves.
var ways = map[string]func(c *peer){
	"FIN":        func(c *peer) { c.Close() },
	"RST":        func(c *peer) { c.reset() },
	"half-close": func(c *peer) { _ = c.CloseWrite() },
}

// A request waits in the module, since no server is listed; its client leaves; a server comes. The request is not
// sent on: the next one is, which came after it.
func TestClientLeavesWhileItsRequestWaits(t *testing.T) {
	for behind, more := range map[string]string{
		"nothing":                 "",
		"a byte of the next":      "G",
		"a whole next":            text("next", "read", ""),
		"many, and half of one":   strings.Repeat(text("next", "read", ""), 40) + "GET /api HT",
		"the body of a next POST": text("next", "pay", strings.Repeat("x", 3000)),
	} {
		for way, leave := range ways {
			for _, class := range []string{"read", "pay", "undo"} {
				t.Run(fmt.Sprint(behind, " behind/", way, "/", class), func(t *testing.T) {
					t.Parallel()
					g := newRig(t, nil).start()
					c := g.client().write(text("gone", class, "sum"))
					g.sees("the request that waits", held(1))
					if more != "" {
						c.write(more)
					}
					leave(c)
					g.sees("that its client has left", idle)
					g.disc.say(entry("s0", g.server("s0", nil), "up"))
					g.served("after")
					g.sees("the end of all", idle)
					g.never("gone")
					if way != "half-close" {
						g.never("next")
					}
				})
			}
		}
	}
}

// The first server turns the request away, and no other is there: it waits for its second attempt when its client leaves.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, nil).start()
			full := g.server("full", func(h hand) bool {
				_, err := io.WriteString(h, "HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			g.disc.say(entry("full", full, "up"))
			c := g.client().write(text("gone", "pay", ""))
			g.sees("the wait between two attempts", func(s node.Status) bool {
				return len(g.times("gone")) == 1 && s.Requests.Queued+s.Requests.Open > 0 && s.Requests.AttemptsInFlight == 0
			})
			leave(c)
			g.sees("that its client has left", idle)
			g.disc.say(entry("well", g.server("well", nil), "up"))
			g.served("after")
			g.sees("the end of all", idle)
			if at := g.times("gone"); len(at) != 1 {
				t.Errorf("it went to %v", at)
			}
		})
	}
}

// The connection to the only server is being made when the client leaves, and then comes up. Where the settings allow
// no call-off nothing is called off, and nothing is sent on all the same.
func TestClientLeavesDuringTheDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("call-offs ", cancel), func(t *testing.T) {
			t.Parallel()
			g := newRig(t, func(c *node.Config) { c.Settings.Capabilities.Cancel = cancel })
			addr, open := g.silent("s0")
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", addr))
			g.start()
			c := g.client().write(text("gone", "pay", ""))
			g.sees("the attempt", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
			c.reset()
			g.sees("that the client has left", func(s node.Status) bool { return s.Requests.Open == 0 })
			open()
			g.sees("the end of the attempt", idle)
			g.served("after")
			g.never("gone")
		})
	}
}

// What waited unread, since the node has no room for its connection, goes nowhere once it is read if its client
// has left by then.
func TestClientLeavesBeforeItsRequestIsRead(t *testing.T) {
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, func(c *node.Config) { c.MaxDescriptors = 64 }).start()
			var busy []*peer
			for i := range 16 { // all that are let in with so many descriptors
				busy = append(busy, g.client().write(text(fmt.Sprint("busy", i), "read", "")))
			}
			g.sees("all connections taken", held(16))
			gone := g.client().write(text("gone", "read", ""))
			g.sees("the one that waits for room", func(s node.Status) bool { return s.Connections.Clients == 17 })
			leave(gone)
			g.disc.say(entry("s0", g.server("s0", nil), "up"))
			for _, c := range busy {
				c.want(http.StatusOK)
				c.Close()
			}
			g.served("after")
			g.sees("the end of all", func(s node.Status) bool {
				return idle(s) && s.Connections.Clients == 0 || way == "half-close" && idle(s)
			})
			if way != "RST" { // a connection that was reset can't be read at all
				g.never("gone")
			}
		})
	}
}

// A client leaves within a body. The server gets no whole request, also where the node holds a part of the body
// and what is left was sent, and waits unread.
func TestClientLeavesWithinABody(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, part := range map[string]int{"nothing of it": 0, "half of it": 100 << 10, "all but a byte": 200<<10 - 1, "all of it": 200 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, func(c *node.Config) { c.MemoryMB = 1 }).start() // a quarter of 256 KiB is held of one body
			c := g.client()
			whole := text("gone", "pay", body)
			sent := whole[:len(whole)-len(body)+part]
			wrote := make(chan struct{})
			go func() { _, _ = io.WriteString(c, sent); close(wrote) }()
			if part > 90<<10 {
				g.sees("the request that waits", held(1))
			}
			testkit.Receive(t, "the last byte written", wrote)
			c.Close()
			g.disc.say(entry("s0", g.server("s0", nil), "up"))
			g.served("after")
			g.sees("the end of all", idle)
			g.never("gone")
		})
	}
}

// Over MessagePack-RPC: calls that wait, and one behind them for which there is no place, so that nothing more is read.
func TestCallerLeavesWhileItsCallsWait(t *testing.T) {
	g := newRig(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.conf.Msgpack = node.Msgpack{Listener: ln, MaxCallsPerConn: 2}
	g.start()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var calls []byte
	for i := range 3 {
		calls = msgpackrpc.AppendCall(calls, uint32(i), &msgpackrpc.Call{ID: fmt.Sprint("gone", i), Class: "pay", Tenant: "t", Timeout: time.Minute, Target: "/api"})
	}
	if _, err := c.Write(calls); err != nil {
		t.Fatal(err)
	}
	g.sees("the calls that wait", held(2))
	c.Close()
	g.sees("that the caller has left", idle)
	g.disc.say(entry("s0", g.server("s0", nil), "up"))
	g.served("after")
	g.sees("the end of all", idle)
	for i := range 3 {
		g.never(fmt.Sprint("gone", i))
	}
}

// The client leaves in the same instant as its answer comes: what was sent on stays accounted for, ran once, and
// nothing of it stays.
func TestClientLeavesWithTheAnswer(t *testing.T) {
	left := make(chan *peer, 1)
	g := newRig(t, nil)
	addr := g.server("s0", func(h hand) bool {
		if strings.HasPrefix(h.id, "r") {
			(<-left).reset()
		}
		return h.say("done")
	})
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", addr))
	g.start()
	for i := range 200 {
		id := fmt.Sprint("r", i)
		c := g.client()
		left <- c
		c.write(text(id, []string{"read", "pay", "undo"}[i%3], ""))
		testkit.Await(t, "the send of "+id, func() bool { return len(g.times(id)) == 1 })
	}
	g.sees("the end of all", func(s node.Status) bool { return idle(s) && s.Connections.Clients == 0 })
	g.served("after")
	for i := range 200 {
		if at := g.times(fmt.Sprint("r", i)); len(at) != 1 {
			t.Errorf("r%d went to %v", i, at)
		}
	}
}

// 1,000 clients leave while their requests wait, 800 one by one and 200 at once, while others are served or wait; then
// servers come. None is sent on.
func TestDepartures(t *testing.T) {
	g := newRig(t, func(c *node.Config) { c.MaxDescriptors = 1024 }).start()
	stayed := make(chan int, 50)
	for i := range cap(stayed) {
		go func() { stayed <- g.ask(fmt.Sprint("stayed", i), "read") }()
	}
	g.sees("those that stay", held(cap(stayed)))
	n := 0
	for n < 800 {
		c := g.client().write(text(fmt.Sprint("gone", n), []string{"read", "pay", "undo"}[n%3], ""))
		n++
		if n%40 == 0 {
			g.sees("a request that waits", func(s node.Status) bool { return s.Requests.Queued > cap(stayed) })
		}
		if n%2 == 0 {
			c.reset()
		} else {
			c.Close()
		}
	}
	var burst []*peer
	for ; n < 1000; n++ {
		burst = append(burst, g.client().write(text(fmt.Sprint("gone", n), []string{"read", "pay", "undo"}[n%3], "")))
	}
	g.sees("the burst", held(cap(stayed)+200))
	for _, c := range burst {
		c.Close()
	}
	g.disc.say(entry("s0", g.server("s0", nil), "up")) // while the news of the leavers is on its way
	for range cap(stayed) {
		if status := testkit.Receive(t, "an answer", stayed); status != http.StatusOK {
			t.Errorf("who stayed got %d", status)
		}
	}
	g.served("after")
	g.sees("the end of all", idle)
	g.mu.Lock()
	defer g.mu.Unlock()
	sent := 0
	for _, s := range g.sent {
		if strings.HasPrefix(s.id, "gone") {
			sent++
		}
	}
	t.Logf("1,000 left while their requests waited; %d were sent on", sent)
	if sent > 0 {
		t.Errorf("%d were sent on", sent)
	}
}

// A head of which net/http's buffer holds all but one byte of its room: who reads the next byte is not who looks for the
// client's leaving, and the request is read to its end.
func TestHeadThatLeavesRoomForAByte(t *testing.T) {
	g := newRig(t, nil)
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", nil)))
	g.start()
	const buffer = 4 << 10
	for i, before := range []int{0, 1, 3} { // requests on the connection ahead of it
		c := g.client()
		for n := range before {
			c.write(text(fmt.Sprintf("before-%d-%d", i, n), "read", ""))
			c.want(http.StatusOK)
		}
		g.sees("quiet", func(s node.Status) bool { return s.Connections.Busy == 0 })
		id := fmt.Sprint("one-", i)
		long := strings.Replace(text(id, "read", ""), "/api", "/api?"+strings.Repeat("x", buffer+100), 1)
		c.write(long[:buffer-1])
		g.sees("the first bytes", func(s node.Status) bool { return s.Connections.Busy == 1 })
		c.write(long[buffer-1:])
		c.want(http.StatusOK)
		if at := g.times(id); len(at) != 1 {
			t.Errorf("%s went to %v", id, at)
		}
		c.Close()
	}
}

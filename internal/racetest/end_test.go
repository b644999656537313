package racetest

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
)

// ends are the deadlines, as settings of customers have them, under which a node is told to end.
var deadlines = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, time.Minute}

// setDeadlines gives each class the deadline. Its node ends as the daemon does where nobody has set times.
func setDeadlines(d time.Duration) func(c *node.Config) {
	return func(c *node.Config) {
		c.AnnounceFor = nil
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = d, d*3/4
		}
	}
}

// killAfter is when SIGKILL comes at the soonest after SIGTERM.
func killAfter(longest time.Duration) time.Duration {
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// In each state in which a request can be as the node is told to end, it gets its one answer, before SIGKILL, and the
// node ends by itself without an error. What was not taken whole by then may be sent once more elsewhere.
func TestTermWithRequestsInFlight(t *testing.T) {
	type state struct {
		ready func(g *rig, c *peer, class string) // brings it about, before SIGTERM; the last request is the one
		after func(g *rig, c *peer, class string) // what the client does behind SIGTERM
		whole bool                                // the request is taken, or will be
	}
	half := func(s string) string { return s[:len(s)/2] }
	states := map[string]state{
		"at a server that hangs": {ready: func(g *rig, c *peer, class string) {
			for i := 0; len(g.times(g.one)) == 0; i++ {
				// A busy host may keep the node from it for longer than its client waits: then it is refused, and another is sent.
				g.one = fmt.Sprint("one", i)
				c.write(text(g.one, class, ""))
				refused := false
				testkit.Await(g.t, "the send", func() bool {
					refused = c.there()
					return refused || len(g.times(g.one)) > 0
				})
				if refused && len(g.times(g.one)) == 0 {
					c.want(http.StatusServiceUnavailable)
				}
			}
		}, whole: true},
		"half a head": {
			ready: func(_ *rig, c *peer, class string) { c.write(half(text("one", class, ""))) },
			after: func(_ *rig, c *peer, class string) { s := text("one", class, ""); c.write(s[len(half(s)):]) }, whole: true,
		},
		"half a body": {
			ready: func(_ *rig, c *peer, class string) { s := text("one", "pay", "12345678"); c.write(s[:len(s)-4]) },
			after: func(_ *rig, c *peer, _ string) { c.write("5678") }, whole: true,
		},
		"a connection that comes after it": {
			ready: func(*rig, *peer, string) {},
			after: func(g *rig, c *peer, class string) { *c = *g.client(); c.write(text("one", class, "")) }, whole: true,
		},
		"a connection kept since before": {
			ready: func(g *rig, c *peer, _ string) { c.write(text("warm", "read", "")); c.want(http.StatusOK) },
			after: func(_ *rig, c *peer, class string) { c.write(text("one", class, "")) }, whole: true,
		},
	}
	for name, st := range states {
		for _, longest := range deadlines {
			for _, class := range []string{"read", "pay", "undo"} {
				t.Run(fmt.Sprint(name, "/", longest, "/", class), func(t *testing.T) {
					t.Parallel()
					g := newRig(t, setDeadlines(longest))
					s0 := g.server("s0", func(h hand) bool {
						if strings.HasPrefix(h.id, "one") && strings.HasPrefix(name, "at a server") {
							_, _ = io.Copy(io.Discard, h) // until it is called off
							return false
						}
						return h.say("done")
					})
					g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0))
					g.start()
					g.one = "one"
					c := g.client()
					st.ready(g, c, class)
					g.stop()
					term := time.Now()
					if st.after != nil {
						testkit.Await(t, "that the node is not ready", func() bool { return !g.ready() })
						st.after(g, c, class)
					}
					status, _, err := c.answer()
					if err != nil {
						t.Errorf("no answer: %v", err)
					}
					if st.after != nil && status != http.StatusOK && time.Since(term) < 300*time.Millisecond {
						t.Errorf("answered %d, while clients still come", status)
					}
					if at := g.times(g.one); len(at) > 1 || len(at) == 1 && class == "pay" && status != http.StatusOK && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
						t.Errorf("answered %d, went to %v", status, at)
					}
					g.over = true
					if err := testkit.Receive(t, "the node's end", g.ended); err != nil {
						t.Error(err)
					}
					if took := time.Since(term); took > killAfter(longest) {
						t.Errorf("it ended after %v; SIGKILL comes after %v", took, killAfter(longest))
					}
				})
			}
		}
	}
}

// ready asks as the front does.
func (g *rig) ready() bool {
	resp, err := fresh.Get("http://" + g.addr + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Clients that come again at once, on every connection that stays open and on new ones, for as long as the node lets
// them: each request that was taken has its one answer; new connections are let in for as long as clients are sent.
func TestTermUnderClientsThatComeAgain(t *testing.T) {
	for _, longest := range deadlines {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			t.Parallel()
			g := newRig(t, setDeadlines(longest))
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", nil)))
			g.start()
			var all sync.WaitGroup
			var mu sync.Mutex
			var term time.Time
			lost, early, answered, closed := 0, 0, 0, 0
			begun := make(chan struct{}, 1000)
			for i := range 12 {
				all.Go(func() {
					for k := 0; ; k++ {
						nc, err := net.Dial("tcp", g.addr)
						mu.Lock()
						since := time.Since(term)
						told := !term.IsZero()
						mu.Unlock()
						if err != nil {
							if told && since < 400*time.Millisecond {
								mu.Lock()
								early++
								mu.Unlock()
							}
							return
						}
						c := &peer{nc.(*net.TCPConn), nil, t}
						sent := !told || since < 400*time.Millisecond
						for n := 0; n < 1+i%4; n++ { // some on a connection each
							if !c.exchange(fmt.Sprintf("c%d-%d-%d", i, k, n), n > 0, sent, &mu, &answered, &lost, &closed) {
								break
							}
							select {
							case begun <- struct{}{}:
							default:
							}
						}
						c.Close()
					}
				})
			}
			for range 200 {
				testkit.Receive(t, "traffic", begun)
			}
			mu.Lock()
			term = time.Now()
			mu.Unlock()
			g.stop()
			g.over = true
			if err := testkit.Receive(t, "the node's end", g.ended); err != nil {
				t.Error(err)
			}
			if took := time.Since(term); took > killAfter(longest) {
				t.Errorf("it ended after %v; SIGKILL comes after %v", took, killAfter(longest))
			}
			all.Wait()
			t.Logf("%d answered, %d lost and %d turned back while clients were sent, %d new connections closed after that", answered, lost, early, closed)
			if lost > 0 || early > 0 {
				t.Errorf("%d lost, %d turned back", lost, early)
			}
		})
	}
}

// exchange sends one request; a connection that ends under one that is not its first may have crossed it. sent says
// that clients are still sent to the node.
func (c *peer) exchange(id string, reused, sent bool, mu *sync.Mutex, answered, lost, closed *int) bool {
	if c.in == nil {
		c.in = newReader(c)
	}
	if _, err := io.WriteString(c, text(id, "pay", "")); err != nil {
		return false
	}
	_, _, err := c.answer()
	mu.Lock()
	defer mu.Unlock()
	switch {
	case err == nil:
		*answered++
		return true
	case !reused && sent:
		*lost++
	case !reused:
		*closed++
	}
	return false
}

// The node has no room for another connection when it is told to end, and does not get any: who stands in the system's
// queue, with a request sent, is answered and not reset as the listener closes.
func TestTermWithClientsInTheQueue(t *testing.T) {
	g := newRig(t, func(c *node.Config) { c.MaxDescriptors, c.AnnounceFor = 64, nil })
	s0 := g.server("s0", func(h hand) bool {
		if strings.HasPrefix(h.id, "busy") {
			_, _ = io.Copy(io.Discard, h)
			return false
		}
		return h.say("done")
	})
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0), known("s1", s0))
	g.start()
	var busy, queued []*peer
	for i := range 16 {
		busy = append(busy, g.client().write(text(fmt.Sprint("busy", i), "pay", "")))
	}
	g.sees("no room", func(s node.Status) bool { return s.Requests.Open == 16 && s.Connections.Clients == 16 })
	for i := range 6 { // the first of them is let in, and waits for room
		queued = append(queued, g.client().write(text(fmt.Sprint("queued", i), "read", "")))
	}
	g.stop()
	for i, c := range append(queued, busy...) {
		if status, _, err := c.answer(); err != nil {
			t.Errorf("client %d: no answer: %v", i, err)
		} else if i < len(queued) && len(g.times(fmt.Sprint("queued", i))) == 0 && status < 500 && status != http.StatusTooManyRequests {
			t.Errorf("client %d: answered %d, and went nowhere", i, status)
		}
	}
	g.over = true
	if err := testkit.Receive(t, "the node's end", g.ended); err != nil {
		t.Error(err)
	}
}

// SIGTERM before the node is ready, and while a SIGHUP is on its way: it ends in order.
func TestTermDuringTheStartAndAReload(t *testing.T) {
	for _, reload := range []bool{false, true} {
		t.Run(fmt.Sprint("reload ", reload), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			conf := node.Config{Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 256, MemoryMB: 64, Settings: settings(), InitialList: registry.List{Revision: 1, Full: true}}
			setDeadlines(100 * time.Millisecond)(&conf)
			ctx, stop := context.WithCancel(context.Background())
			reloads := make(chan node.Config, 1)
			if reload {
				next := conf
				next.Settings.Capabilities.Hedge = true
				reloads <- next
			}
			stop()
			ended := make(chan error, 1)
			go func() { ended <- node.Run(ctx, conf, ln, reloads, slog.New(slog.DiscardHandler)) }()
			if err := testkit.Receive(t, "the end", ended); err != nil {
				t.Error(err)
			}
		})
	}
}

// The room for clients is full and each has a request: the next is let in when one ends, and none that has a request,
// or has one on its way that nobody has read, is closed for another.
func TestRoomIsMadeAsRequestsCome(t *testing.T) {
	g := newRig(t, func(c *node.Config) { c.MaxDescriptors = 64 })
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", nil)))
	g.start()
	var all sync.WaitGroup
	var mu sync.Mutex
	served, again := 0, 0
	for i := range 48 { // three times what there is room for
		all.Go(func() {
			var c *peer
			for k := 0; k < 25; {
				if c == nil {
					c = g.client()
				}
				fresh := c.in.Buffered() == 0 && k == 0
				status, _, err := c.write2(text(fmt.Sprintf("c%d-%d", i, k), "pay", ""))
				switch {
				case err == nil && status == http.StatusOK:
					mu.Lock()
					served++
					mu.Unlock()
					k++
				case err == nil:
					t.Errorf("answered %d", status)
					return
				default: // the close of a kept connection crossed it: once more, on a new one
					if at := g.times(fmt.Sprintf("c%d-%d", i, k)); len(at) > 0 {
						t.Errorf("lost after it went to %v (new connection: %v)", at, fresh)
						return
					}
					mu.Lock()
					again++
					mu.Unlock()
					c = nil
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d served, %d sent once more", served, again)
	if served != 48*25 {
		t.Errorf("%d served", served)
	}
}

// write2 sends and reads, where the connection may have been closed.
func (c *peer) write2(s string) (int, string, error) {
	if _, err := io.WriteString(c, s); err != nil {
		return 0, "", err
	}
	return c.answer()
}

// Clients that send much at once and go, that stay silent, send half a head, nonsense or never read: who behaves is
// served beside them, and nothing of theirs stays.
func TestWellBehavedClients_ServedBesideBadOnes(t *testing.T) {
	g := newRig(t, func(c *node.Config) { c.MaxDescriptors = 128 })
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", nil)))
	g.start()
	bad := []func(c *peer, i int){
		func(c *peer, i int) {
			_, _ = io.WriteString(c, strings.Repeat(text(fmt.Sprint("much", i), "read", ""), 200))
			c.reset()
		},
		func(c *peer, i int) {
			_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: h\r\n")
			c.Close()
		},
		func(c *peer, i int) { _, _ = io.WriteString(c, strings.Repeat("\x00\xff", 4096)); c.Close() },
		func(c *peer, i int) {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 40))
			c.reset()
		},
		func(c *peer, i int) {
			_ = c.SetReadBuffer(1)
			_, _ = io.WriteString(c, text(fmt.Sprint("mute", i), "read", ""))
		},
		func(c *peer, i int) {},
	}
	for i := range 240 {
		bad[i%len(bad)](g.client(), i)
		if i%6 == 5 {
			g.served(fmt.Sprint("well", i))
		}
	}
	g.sees("the end of all", idle)
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]int)
	for _, s := range g.sent {
		if seen[s.id]++; seen[s.id] > 1 {
			t.Errorf("%s ran twice", s.id)
		}
	}
}

// A client sends its next request right behind the first, so that net/http has read it whole before it is begun. The node
// is told to end, or makes room for others, while either is at its server: the connection has a request in it, and stays;
// or the second goes nowhere, where the first one's answer says that it ends the connection.
func TestRequestReadAheadIsNoQuietConnection(t *testing.T) {
	for _, how := range []string{"the node ends", "room is made"} {
		for _, at := range []string{"one", "two"} {
			t.Run(fmt.Sprint(how, "/", at), func(t *testing.T) {
				t.Parallel()
				got, goOn := make(chan string, 2), make(chan bool)
				g := newRig(t, func(c *node.Config) { c.MaxDescriptors = 64 })
				g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", func(h hand) bool {
					if h.id == at {
						got <- h.id
						<-goOn
					}
					return h.say("done " + h.id)
				})))
				g.start()
				c := g.client().write(text("one", "read", "") + text("two", "pay", ""))
				if at == "two" {
					c.want(http.StatusOK)
				}
				testkit.Receive(t, "the request at its server", got)
				if how == "the node ends" {
					g.stop()
					testkit.Await(t, "that the node lets nobody in", func() bool { return !g.ready() })
				} else {
					for range 40 { // more than there is room for
						g.client()
					}
					g.sees("no room", func(s node.Status) bool { return s.Connections.Clients >= 16 })
					testkit.Await(t, "that others are let in", g.ready)
				}
				close(goOn)
				if at == "one" {
					c.want(http.StatusOK)
				}
				status, body, err := c.answer()
				sent := g.times("two")
				if at == "one" && how == "the node ends" && err != nil && len(sent) == 0 {
					return // the answer to the first has said that its connection ends with it
				}
				if err != nil || status != http.StatusOK || body != "done two" {
					t.Errorf("answered %d %q, %v; it went to %v", status, body, err, sent)
				}
			})
		}
	}
}

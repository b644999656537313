package racetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

// A connection to a server is being made while the list says that the server drains, is gone, is at another address
// or is another process. When it comes up, after the grace, nothing is written to it, and the request goes where it may.
// Where the drain was taken back it is written.
func TestServerEndsDuringTheDial(t *testing.T) {
	const grace = 60 * time.Millisecond
	for name, c := range map[string]struct {
		says func(g *rig, addr string) []string
		sent string
	}{
		"drains": {func(_ *rig, addr string) []string { return []string{entry("s0", addr, "draining")} }, "s1"},
		"gone":   {func(*rig, string) []string { return nil }, "s1"},
		"moved":  {func(g *rig, _ string) []string { return []string{entry("s0", g.server("elsewhere", nil), "draining")} }, "s1"},
		"replaced": {func(_ *rig, addr string) []string {
			return []string{strings.Replace(entry("s0", addr, "draining"), `"up_since_ms":0`, `"up_since_ms":99`, 1)}
		}, "s1"},
		"withdrawn": {func(_ *rig, addr string) []string { return []string{entry("s0", addr, "up")} }, "s0"},
	} {
		for _, class := range []string{"read", "pay", "undo"} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				g := newRig(t, func(c *node.Config) { c.Settings.Rules.DrainGrace = grace })
				addr, open := g.silent("s0")
				g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", addr))
				g.start()
				one := g.client().write(text("one", class, ""))
				g.sees("the attempt", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
				if name == "withdrawn" {
					g.disc.say(entry("s0", addr, "draining"))
					g.sees("the drain", func(s node.Status) bool { return s.Servers["draining"] == 1 })
				}
				other := entry("s1", g.server("s1", nil), "up")
				g.disc.say(append(c.says(g, addr), other)...)
				g.sees("the news", func(s node.Status) bool {
					return s.Servers["running"] == 1+strings.Count(c.sent, "s0") && s.EndpointList.LastUpdate.Before(s.At.Add(-grace))
				})
				open()
				one.want(http.StatusOK)
				g.sees("the end of all", idle)
				if at := g.times("one"); !slices.Equal(at, []string{c.sent}) {
					t.Errorf("it went to %v, want %s alone", at, c.sent)
				}
			})
		}
	}
}

// A request is held back since the only server is at its bound, or its second copy or next attempt is planned there; the
// server drains first. Nothing new reaches it.
func TestServerDrainsBeforeTheNextAttempt(t *testing.T) {
	for _, class := range []string{"read", "undo"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, nil)
			at, goOn := make(chan string, 4), make(chan bool)
			first := g.server("s0", func(h hand) bool {
				at <- h.id
				<-goOn
				_, err := io.WriteString(h, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			second := g.server("s1", nil)
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", first))
			g.start()
			one := g.client().write(text("one", class, ""))
			testkit.Receive(t, "the first attempt", at)
			g.disc.say(entry("s0", first, "draining"), entry("s1", second, "up"))
			g.sees("the drain", func(s node.Status) bool { return s.Servers["draining"] == 1 })
			close(goOn)
			one.want(http.StatusOK)
			if got := g.times("one"); !slices.Equal(got, []string{"s0", "s1"}) {
				t.Errorf("it went to %v", got)
			}
		})
	}
}

// broken are answers, and ends, that are none. What the request may have done holds: an unsafe one is not sent again
// and not said to be refused, a keyed one goes where repeats are dropped.
var broken = map[string]struct {
	does func(h hand) bool
	pay  int
}{
	"closed before the answer": {func(hand) bool { return false }, http.StatusBadGateway},
	"reset before the answer":  {func(h hand) bool { _ = h.Conn.(*net.TCPConn).SetLinger(0); return false }, http.StatusBadGateway},
	"reset in the head": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 O")
		_ = h.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}, http.StatusBadGateway},
	"reset in the body": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
		_ = h.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}, http.StatusBadGateway},
	"not HTTP":               {func(h hand) bool { _, _ = io.WriteString(h, "hello\r\n\r\n"); return false }, http.StatusBadGateway},
	"a late 100 and no more": {func(h hand) bool { _, _ = io.WriteString(h, "HTTP/1.1 100 Continue\r\n\r\n"); return false }, http.StatusBadGateway},
	"503 without X-Not-Run": {func(h hand) bool {
		_, err := io.WriteString(h, "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}, http.StatusBadGateway},
	"503 with X-Not-Run": {func(h hand) bool {
		_, err := io.WriteString(h, "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}, http.StatusOK},
	"longer than it says": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndone and more")
		return false
	}, http.StatusBadGateway},
	"a head that never ends": {func(h hand) bool { return endless(h, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 20<<10)) }, http.StatusBadGateway},
	"lengths that contradict": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!")
		return false
	}, http.StatusBadGateway},
	"of no length, and reset": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal")
		_ = h.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}, http.StatusBadGateway},
	"chunks that break off": {func(h hand) bool {
		_, _ = io.WriteString(h, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
		return false
	}, http.StatusBadGateway},
}

func endless(h hand, s string) bool { _, _ = io.WriteString(h, s); return false }

func TestAnswersThatAreNone(t *testing.T) {
	for name, b := range broken {
		for class, want := range map[string]int{"read": http.StatusOK, "pay": b.pay, "undo": http.StatusOK} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				g := newRig(t, nil)
				g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("bad", g.server("bad", b.does)), known("well", g.server("well", nil)))
				g.start()
				g.client().write(text("one", class, "")).want(want)
				sent := []string{"bad", "well"}
				if want != http.StatusOK {
					sent = sent[:1]
				}
				if at := g.times("one"); !slices.Equal(at, sent) {
					t.Errorf("it went to %v, want %v", at, sent)
				}
			})
		}
	}
}

// A server closes an idle connection as the next request is written to it: the request may have run, as far as the
// node can know, so an unsafe one is not sent again.
func TestIdleConnectionClosedAsTheRequestComes(t *testing.T) {
	for class, want := range map[string]int{"read": http.StatusOK, "pay": http.StatusBadGateway, "undo": http.StatusOK} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, nil)
			s0 := g.server("s0", func(h hand) bool { return h.n == 0 && h.say("done") })
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0))
			g.start()
			g.served("first")
			g.disc.say(entry("s0", s0, "up"), entry("s1", g.server("s1", nil), "up"))
			g.sees("both servers", func(s node.Status) bool { return s.Servers["running"] == 2 })
			reused := false
			for i := 0; !reused && i < 50; i++ { // a connection rests after an answer, and others are made meanwhile
				id := fmt.Sprint("next", i)
				got := g.ask(id, class)
				at := g.times(id)
				reused = len(at) > 0 && at[0] == "s0" && (got != http.StatusOK || len(at) > 1)
				if !reused {
					continue
				}
				if got != want || class == "pay" && len(at) != 1 {
					t.Errorf("answered %d, went to %v", got, at)
				}
			}
			if !reused {
				t.Error("no connection was used again")
			}
		})
	}
}

// A second answer comes some milliseconds after the first, while a next request is at the server already. It is not the
// next one's answer: that went out over another connection.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	var mu sync.Mutex
	var last hand
	var answered time.Time
	crossed := 0
	g := newRig(t, nil)
	s0 := g.server("s0", func(h hand) bool {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(h.id, "next") && last.Conn != nil {
			if gap := time.Since(answered); gap > 4*time.Millisecond && gap < 10*time.Millisecond {
				crossed++
				_, _ = io.WriteString(last, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			}
			last = hand{}
			return h.say("done " + h.id)
		}
		ok := h.say("done " + h.id)
		last, answered = h, time.Now()
		return ok
	})
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0))
	g.start()
	c := g.client()
	for i := 0; crossed < 20 && i < 2000; i++ {
		for _, id := range []string{fmt.Sprint("first", i), fmt.Sprint("next", i)} {
			status, body, err := c.write(text(id, "pay", "")).answer()
			if err != nil || status != http.StatusOK || body != "done "+id {
				t.Fatalf("%s: answered %d %q, %v", id, status, body, err)
			}
			time.Sleep(4 * time.Millisecond) // it brings the case about; the stand-in says whether it was one
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d second answers 4 to 10 ms late, with the next request at the server", crossed)
	if crossed == 0 {
		t.Error("the case never came about")
	}
}

// An answer comes in the same instant as the node's time for it ends. Each request has one answer, unsafe ones ran once.
func TestAnswerWithTheTimeOut(t *testing.T) {
	g := newRig(t, func(c *node.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = 100*time.Millisecond, 90*time.Millisecond
		}
		c.Settings.Capabilities.MaxAttempts = 1
	})
	s0 := g.server("s0", func(h hand) bool {
		time.Sleep(time.Duration(76+len(h.id)%8) * time.Millisecond) // about when the node gives up
		return h.say("done " + h.id)
	})
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0))
	g.start()
	var all sync.WaitGroup
	var mu sync.Mutex
	got := make(map[int]int)
	for i := range 120 {
		all.Go(func() {
			id := fmt.Sprint("r", i, strings.Repeat("x", i%8))
			c := g.client()
			defer c.Close()
			status, body, err := c.write(text(id, []string{"read", "pay", "undo"}[i%3], "", "X-Deadline-Ms: 100")).answer()
			if err != nil || status == http.StatusOK && body != "done "+id {
				t.Errorf("%s: %d %q, %v", id, status, body, err)
			}
			if at := g.times(id); len(at) > 1 || len(at) == 1 && i%3 == 1 && status != http.StatusOK && status < 500 || i%3 == 1 && len(at) == 1 && status == http.StatusServiceUnavailable {
				t.Errorf("%s: %d, went to %v", id, status, at)
			}
			mu.Lock()
			got[status]++
			mu.Unlock()
		})
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	g.sees("the end of all", idle)
	t.Logf("answers by status: %v", got)
}

// A keyed request that may have run goes on only where its repeat is dropped, and only for as long as it is: its group and
// its window are the settings'.
func TestKeyedRepeatsStayInTheirGroup(t *testing.T) {
	others := map[string]func(m *router.Endpoint){
		"of its cell":    func(*router.Endpoint) {},
		"of its zone":    func(m *router.Endpoint) { m.Cell = 2 },
		"somewhere else": func(m *router.Endpoint) { m.Cell, m.Zone = 3, "b" },
	}
	groups := map[string]struct {
		group policy.DedupScope
		to    []string
	}{
		"all":  {policy.DedupAll, []string{"of its cell", "of its zone", "somewhere else"}},
		"zone": {policy.DedupZone, []string{"of its cell", "of its zone"}},
		"cell": {policy.DedupCell, []string{"of its cell"}},
	}
	for group, want := range groups {
		for other, place := range others {
			for _, window := range []time.Duration{30 * time.Second, 40 * time.Millisecond} {
				t.Run(fmt.Sprint(group, "/", other, "/", window), func(t *testing.T) {
					t.Parallel()
					over := window < time.Second // by the time that the first server breaks off
					g := newRig(t, func(c *node.Config) {
						c.Settings.Classes[2].DedupScope, c.Settings.Classes[2].DedupWindow = want.group, window
					})
					bad := known("bad", g.server("bad", func(hand) bool {
						if over {
							time.Sleep(2 * window) // the window counts from before this
						}
						return false
					}))
					well := known("well", g.server("well", nil))
					place(&well)
					g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, bad, well)
					g.start()
					status, _, err := g.client().write(text("one", "undo", "")).answer()
					if err != nil {
						t.Fatal(err)
					}
					at := g.times("one")
					switch {
					case slices.Contains(want.to, other) && !over:
						if status != http.StatusOK || !slices.Equal(at, []string{"bad", "well"}) {
							t.Errorf("answered %d, went to %v", status, at)
						}
					case !slices.Equal(at, []string{"bad"}):
						t.Errorf("answered %d, went to %v", status, at)
					case status == http.StatusOK, want.group != policy.DedupAll && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
						t.Errorf("answered %d: it may have run, and a client's retry may come to another group", status)
					}
				})
			}
		}
	}
}

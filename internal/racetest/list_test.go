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
)

// told is when news that a call missed counts as told, by the operators' terms: 6 s after its watch fell silent, or 2 s
// after its wait is over if that is later.
func told(k call, silent time.Time) time.Time {
	t := silent.Add(6 * time.Second)
	if u := k.at.Add(k.wait + 2*time.Second); u.After(t) {
		return u
	}
	return t
}

// slack is what the rules on sockets allow beyond the settings.
const slack = 50 * time.Millisecond

// How the watch on which the news of a drain was to come ends without it. Each stops the call in the stand-in's hands,
// with the drain at the moment named, and after it the stand-in answers honestly.
var watches = map[string]func(g *rig, k call, c net.Conn) bool{
	"silent at once": func(g *rig, _ call, c net.Conn) bool { g.drainNow(); return deaf(c) },
	"silent just before its answer": func(g *rig, k call, c net.Conn) bool {
		g.drainNow()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		return deaf(c)
	},
	"half delivered": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		list := g.disc.list()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list[:len(list)/2])
		return deaf(c)
	},
	"ended without its last bytes": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		list := g.disc.list()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list[:len(list)-2])
		c.Close()
		return true
	},
	"ended early, and its length not told": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		list := g.disc.list()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list[:len(list)-2])
		c.Close()
		return true
	},
	"reset": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return true
	},
	"503": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		_, err := io.WriteString(c, "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	},
	"nonsense": func(g *rig, _ call, c net.Conn) bool { g.drainNow(); return reply(c, `{"revision":`) },
	"indented": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		return reply(c, strings.NewReplacer(",", ",\n\t\t", ":{", " : {\n", "[", "[\n   ").Replace(g.disc.list()))
	},
	"revisions that begin again": func(g *rig, _ call, c net.Conn) bool {
		g.drainNow()
		g.disc.restart()
		return reply(c, `{"revision":1,"complete":false,"members":[]}`)
	},
}

// deaf keeps a connection open, and says nothing.
func deaf(c net.Conn) bool { _, _ = io.Copy(io.Discard, c); return true }

// drainNow is the drain that the node is to be told of.
func (g *rig) drainNow() { g.disc.say(entry("s0", g.old, "draining"), entry("s1", g.young, "up")) }

// In both modes, with clients that send all the while: the first send to s0 later than the grace after the news counts
// as told breaks the rule. The test lasts until the node has the news, and some requests more.
func TestNewsThatAWatchMissed(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		for name, ends := range watches {
			t.Run(fmt.Sprint(name, "/asked ", subscribe), func(t *testing.T) {
				t.Parallel()
				g := newRig(t, func(c *node.Config) {
					c.Settings.Subscribe = subscribe
					c.Settings.Rules.MaxPollInterval = 500 * time.Millisecond
				})
				g.old, g.young = g.server("s0", nil), g.server("s1", nil)
				g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.old))
				g.conf.InitialList.Revision, g.disc.rev = 5, 5
				var at call
				var silent time.Time
				done := make(chan struct{})
				g.disc.entries = []string{entry("s0", g.old, "up")}
				g.disc.takes(func(k call, c net.Conn) bool {
					if k.n > 0 {
						return false
					}
					g.served("before") // by s0, which the node holds to be up
					at, silent = k, time.Now()
					close(done)
					return ends(g, k, c)
				})
				g.start()
				testkit.Receive(t, "the watch", done)
				until := told(at, silent)
				n := 0
				var first time.Time
				for ; first.IsZero() || time.Since(first) < time.Second; n++ {
					id := fmt.Sprint("r", n)
					g.served(id)
					if to := g.times(id); len(to) == 1 && to[0] == "s1" && first.IsZero() {
						first = time.Now()
						t.Logf("the first send elsewhere: %v before the news counts as told", time.Until(until).Round(10*time.Millisecond))
					}
					if time.Now().After(until.Add(5 * time.Second)) {
						t.Error("the news never came")
						break
					}
				}
				if late := g.after("s0", until.Add(g.conf.Settings.Rules.DrainGrace+slack)); len(late) > 0 {
					t.Errorf("%d went to s0 after that, the last %v too late", len(late), late[len(late)-1].at.Sub(until))
				}
			})
		}
	}
}

// Discovery is away as the node starts, and drains are in the first list that it has at its return.
func TestDiscoveryAwayAtTheStart(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		t.Run(fmt.Sprint("asked ", subscribe), func(t *testing.T) {
			t.Parallel()
			g := newRig(t, func(c *node.Config) {
				c.Settings.Subscribe = subscribe
				c.Settings.Rules.MaxPollInterval = 500 * time.Millisecond
			})
			g.old, g.young = g.server("s0", nil), g.server("s1", nil)
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.old))
			g.disc.takes(func(_ call, c net.Conn) bool { c.Close(); return true })
			g.start()
			g.served("known")
			testkit.Receive(t, "a call that failed", g.disc.calls)
			g.drainNow()
			g.disc.takes(nil)
			back := time.Now()
			g.sees("the news", func(s node.Status) bool { return s.Servers["draining"] == 1 })
			if took := time.Since(back); took > 6*time.Second {
				t.Errorf("heard %v after discovery's return", took)
			}
			before := time.Now()
			g.served("after")
			if late := g.after("s0", before); len(late) > 0 {
				t.Errorf("went to s0: %v", late)
			}
		})
	}
}

// SIGHUP moves discovery while a call is out. What the old address says after that, whenever, is not taken; a drain on
// either side of the move is, of the new address.
func TestDiscoveryMovesWhileACallIsOut(t *testing.T) {
	for _, subscribe := range []bool{false, true} {
		for _, when := range []string{"before", "after"} {
			t.Run(fmt.Sprint("asked ", subscribe, "/drain ", when), func(t *testing.T) {
				t.Parallel()
				g := newRig(t, func(c *node.Config) {
					c.Settings.Subscribe = subscribe
					c.Settings.Rules.MaxPollInterval = 500 * time.Millisecond
				})
				g.old, g.young = g.server("s0", nil), g.server("s1", nil)
				g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.old))
				out, answer := make(chan struct{}, 8), make(chan struct{})
				g.disc.takes(func(_ call, c net.Conn) bool {
					out <- struct{}{}
					<-answer // an old answer, after a newer one: s0 is up in it
					reply(c, fmt.Sprintf(`{"revision":90,"complete":true,"members":[%s]}`, entry("s0", g.old, "up")))
					return true
				})
				former := g.disc
				g.start()
				testkit.Receive(t, "the call", out)
				g.disc = newDiscovery(t)
				g.disc.entries = []string{entry("s0", g.old, "up"), entry("s1", g.young, "up")}
				if when == "before" {
					g.drainNow()
				}
				next := g.conf
				next.Discovery = g.disc.addr
				g.reloads <- next
				testkit.Receive(t, "a call at the new address", g.disc.calls)
				if when == "after" {
					g.drainNow()
				}
				g.sees("the drain", func(s node.Status) bool { return s.Servers["draining"] == 1 })
				close(answer)
				former.takes(nil)
				before := time.Now()
				for i := range 20 {
					g.served(fmt.Sprint("r", i))
				}
				if late := g.after("s0", before); len(late) > 0 {
					t.Errorf("%d went to s0", len(late))
				}
			})
		}
	}
}

// The list empties and fills again while requests wait: who waits is served by what comes.
func TestListEmptiesWhileRequestsWait(t *testing.T) {
	g := newRig(t, nil)
	g.old = g.server("s0", nil)
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.old))
	g.start()
	g.served("before")
	g.disc.say()
	g.sees("no server", func(s node.Status) bool { return s.Servers["running"] == 0 })
	c := g.client().write(text("waits", "pay", ""))
	g.sees("the request that waits", held(1))
	g.disc.say(entry("s0", g.old, "up"))
	c.want(http.StatusOK)
}

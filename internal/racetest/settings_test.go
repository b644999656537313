package racetest

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
)

// customers are settings as others have them.
var customers = map[string]func(s *policy.Settings){
	"deadlines of 100 ms": func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Deadline, s.Classes[i].LatencyObjective = 100*time.Millisecond, 50*time.Millisecond
		}
	},
	"deadlines of 60 s": func(*policy.Settings) {},
	"one attempt":       func(s *policy.Settings) { s.Capabilities.MaxAttempts = 1 },
	"second copies":     func(s *policy.Settings) { s.Capabilities.Hedge = true },
	"no call-offs":      func(s *policy.Settings) { s.Capabilities.Cancel = false },
	"no Retry-After":    func(s *policy.Settings) { s.Capabilities.RetryAfter = false },
	"no zones":          func(s *policy.Settings) { s.Zone = "" },
	"another zone":      func(s *policy.Settings) { s.Zone = "b" },
	"a grace of 20 ms":  func(s *policy.Settings) { s.Rules.DrainGrace = 20 * time.Millisecond },
	"no grace":          func(s *policy.Settings) { s.Rules.DrainGrace = 0 },
	"one tenant":        func(s *policy.Settings) { s.Tenants = []policy.Tenant{{Name: "t", Quota: 1000, Share: 1}} },
	"idle after 1 s":    func(s *policy.Settings) { s.Capabilities.ConnIdleTimeout = time.Second },
	"many nodes":        func(s *policy.Settings) { s.Nodes, s.Node = 300, 17 },
	"keys by zone":      func(s *policy.Settings) { s.Classes[2].DedupScope = policy.DedupZone },
	"keys by cell":      func(s *policy.Settings) { s.Classes[2].DedupScope = policy.DedupCell },
	"a window of 1 ms":  func(s *policy.Settings) { s.Classes[2].DedupWindow = time.Millisecond },
	"no keys":           func(s *policy.Settings) { s.Classes[2].Idempotency = policy.NonIdempotent },
	"all effects the other": func(s *policy.Settings) {
		s.Classes[0].Idempotency, s.Classes[1].Idempotency = policy.NonIdempotent, policy.Idempotent
	},
}

// Of another customer's settings: a request whose first server does it well, turns it away, or breaks off, comes to what
// its effect and the number of attempts allow, by the settings alone.
func TestSettingsOfOthers(t *testing.T) {
	firsts := map[string]does{
		"well": nil,
		"turned away": func(h hand) bool {
			_, err := io.WriteString(h, "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		},
		"broken off": func(hand) bool { return false },
	}
	for name, change := range customers {
		for first, do := range firsts {
			t.Run(fmt.Sprint(name, "/", first), func(t *testing.T) {
				t.Parallel()
				for k := range 3 {
					g := newRig(t, func(c *node.Config) { change(&c.Settings); c.Settings.Classes = slices.Clone(c.Settings.Classes) })
					g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", do)), known("s1", g.server("s1", nil)))
					g.conf.InitialList.Endpoints[1].Cell = 2
					if first != "well" { // s0 alone at first, so that it is the one
						g.conf.InitialList.Endpoints = g.conf.InitialList.Endpoints[:1]
						g.disc.say(entry("s0", g.conf.InitialList.Endpoints[0].Addr, "up"))
					}
					class := g.conf.Settings.Classes[k]
					g.start()
					id := "one"
					c := g.client()
					method := "POST"
					if class.Idempotency == policy.Idempotent {
						method = "GET"
					}
					c.write(fmt.Sprintf("%s /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\nIdempotency-Key: k\r\n\r\n",
						method, id, class.Name, min(class.Deadline, time.Second).Milliseconds()))
					status, _, err := c.answer()
					if err != nil {
						t.Fatal(err)
					}
					at := g.times(id)
					switch {
					case len(at) > max(1, g.conf.Settings.Capabilities.MaxAttempts):
						t.Errorf("%s: went to %v", class.Name, at)
					case first == "well" && (status != http.StatusOK || len(at) != 1):
						t.Errorf("%s: answered %d, went to %v", class.Name, status, at)
					case first == "broken off" && class.Idempotency == policy.NonIdempotent && (len(at) != 1 || status < 500 || status == http.StatusServiceUnavailable):
						t.Errorf("%s: answered %d, went to %v", class.Name, status, at)
					case first == "turned away" && status != http.StatusOK && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
						t.Errorf("%s never ran, and is answered %d, went to %v", class.Name, status, at)
					}
					g.end()
				}
			})
		}
	}
}

// SIGHUP changes what a class is while requests of it are open: each ends under what it was taken under, and the next
// goes by the new.
func TestReloadWhileRequestsAreOpen(t *testing.T) {
	effect := func(r policy.Idempotency) func(s *policy.Settings) {
		return func(s *policy.Settings) { s.Classes[1].Idempotency = r }
	}
	for name, c := range map[string]struct {
		before, after func(s *policy.Settings)
		want          int
		sent          []string
	}{
		"unsafe, then safe":  {effect(policy.NonIdempotent), effect(policy.Idempotent), http.StatusBadGateway, []string{"s0"}},
		"unsafe, then keyed": {effect(policy.NonIdempotent), effect(policy.IdempotencyKeyed), http.StatusBadGateway, []string{"s0"}},
		"safe, then unsafe":  {effect(policy.Idempotent), effect(policy.NonIdempotent), http.StatusOK, []string{"s0", "s1"}},
		"dropped":            {effect(policy.NonIdempotent), func(s *policy.Settings) { s.Classes = s.Classes[:1] }, http.StatusBadGateway, []string{"s0"}},
		"safe, then dropped": {effect(policy.Idempotent), func(s *policy.Settings) { s.Classes = s.Classes[:1] }, http.StatusOK, []string{"s0", "s1"}},
		"a shorter deadline": {effect(policy.Idempotent), func(s *policy.Settings) {
			s.Classes[1].Deadline, s.Classes[1].LatencyObjective = time.Millisecond, time.Millisecond
		}, http.StatusOK, []string{"s0", "s1"}},
		"fewer attempts": {effect(policy.Idempotent), func(s *policy.Settings) { s.Capabilities.MaxAttempts = 1 }, http.StatusOK, []string{"s0", "s1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, goOn := make(chan string, 4), make(chan bool)
			g := newRig(t, func(conf *node.Config) { c.before(&conf.Settings) })
			s0 := g.server("s0", func(h hand) bool { got <- h.id; <-goOn; return false })
			s1 := g.server("s1", nil)
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0), known("s1", s1))
			g.start()
			method := "POST"
			if g.conf.Settings.Classes[1].Idempotency == policy.Idempotent {
				method = "GET"
			}
			one := g.client().write(method + " /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: one\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n")
			testkit.Receive(t, "the first attempt", got)
			next := g.conf
			next.Settings.Classes = slices.Clone(next.Settings.Classes)
			c.after(&next.Settings)
			g.reload(next)
			close(goOn)
			one.want(c.want)
			if at := g.times("one"); !slices.Equal(at, c.sent) {
				t.Errorf("it went to %v, want %v", at, c.sent)
			}
		})
	}
}

// reload has a configuration taken, or refused: the node has dealt with it once it takes the next.
func (g *rig) reload(next node.Config) {
	g.reloads <- next
	g.reloads <- next
	g.reloads <- next // the channel holds one: the first is behind it
}

// SIGHUP changes a class's effect while the body of a request of it is on its way: what its client sent as unsafe is not
// sent on as something that may be repeated.
func TestReloadWithinABody(t *testing.T) {
	g := newRig(t, nil)
	g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", g.server("s0", nil)))
	g.start()
	whole := text("one", "pay", "12345678")
	c := g.client().write(whole[:len(whole)-4])
	g.sees("the client", func(s node.Status) bool { return s.Connections.Busy == 1 })
	next := g.conf
	next.Settings.Classes = slices.Clone(next.Settings.Classes)
	next.Settings.Classes[1].Idempotency = policy.Idempotent
	g.reload(next)
	c.write(whole[len(whole)-4:])
	status, _, err := c.answer()
	at := g.times("one")
	switch { // whether the node had read the head by then is the system's to say
	case err != nil:
		t.Error(err)
	case status == http.StatusServiceUnavailable || status == http.StatusMethodNotAllowed:
		if len(at) > 0 {
			t.Errorf("answered %d, and went to %v", status, at)
		}
	default:
		t.Errorf("answered %d, went to %v", status, at)
	}
}

// Of a reload that can't be taken nothing is: neither its settings nor discovery's new address.
func TestReloadIsTakenWholeOrNotAtAll(t *testing.T) {
	for name, spoil := range map[string]func(c *node.Config){
		"another mode":      func(c *node.Config) { c.Settings.Subscribe = true },
		"no classes":        func(c *node.Config) { c.Settings.Classes = nil },
		"a share above one": func(c *node.Config) { c.Settings.Rules.SlowStartShare = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newRig(t, nil)
			s0, s1 := g.server("s0", nil), g.server("s1", nil)
			g.conf.InitialList.Endpoints = append(g.conf.InitialList.Endpoints, known("s0", s0))
			g.start()
			other := newDiscovery(t)
			other.say(entry("s1", s1, "up"))
			next := g.conf
			next.Discovery = other.addr
			next.Settings.Classes = slices.Clone(next.Settings.Classes)
			next.Settings.Classes[0].Idempotency = policy.NonIdempotent
			spoil(&next)
			g.reload(next)
			g.served("one") // a GET, as the old settings have it
			g.disc.say(entry("s0", s0, "up"), entry("s1", s1, "up"))
			g.sees("news of the old address", func(s node.Status) bool { return s.Servers["running"] == 2 })
			if n := len(other.calls); n > 0 {
				t.Errorf("%d calls at the new address", n)
			}
			spoilt := next
			next = g.conf
			next.Discovery, next.Settings.Classes = spoilt.Discovery, slices.Clone(spoilt.Settings.Classes)
			if len(next.Settings.Classes) == 0 {
				next.Settings.Classes = g.conf.Settings.Classes
			}
			g.reload(next) // without the fault it is taken
			testkit.Receive(t, "a call at the new address", other.calls)
		})
	}
}

package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// indexComparison passes the same events to two balancers with the same seed. One balancer uses the index and changes
// the order incrementally. The other balancer scans all servers and rebuilds the order. Both must return the same
// actions.
type indexComparison struct {
	t        *rapid.T
	indexed  *Balancer
	linear   *Balancer
	now      Time
	inFlight []Action // Send actions without an outcome
	attempts map[string]int
	requests int
	servers  int
}

func TestIndex_SelectsAsLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := drawIndexSettings(t)
		indexed, _ := New(settings, 0, 7)
		linear, _ := New(settings, 0, 7)
		linear.linearScan = true
		c := &indexComparison{
			t: t, indexed: indexed, linear: linear, now: 10 * time.Second, attempts: make(map[string]int),
			servers: rapid.SampledFrom([]int{10, 130, 400}).Draw(t, "servers"),
		}
		endpoints := c.initialEndpoints()
		c.handle(EndpointList{Endpoints: endpoints})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.step(endpoints)
		}
		c.compareOrder()
	})
}

func drawIndexSettings(t *rapid.T) Settings {
	settings := reconfigurableSettings()
	settings.Tenants = nil
	settings.Nodes = rapid.SampledFrom([]int{1, 2, 3, 4, 9, 40}).Draw(t, "nodes")
	settings.Node = rapid.IntRange(0, settings.Nodes-1).Draw(t, "node")
	settings.Capabilities.Hedge, settings.Capabilities.MaxAttempts = true, 3
	settings.Rules.SlowStartShare, settings.Rules.SlowStartWindow = 0.3, 5*time.Second
	settings.Rules.OverloadFactor, settings.Rules.OverloadDuration = 3, time.Second
	settings.KeyAffinity = rapid.Bool().Draw(t, "keys")
	if rapid.Bool().Draw(t, "bound") {
		settings.Classes[1].Kinds = []string{"k1"}
	}
	return settings
}

func (c *indexComparison) initialEndpoints() []Endpoint {
	var endpoints []Endpoint
	for i := range c.servers {
		endpoints = append(endpoints, Endpoint{
			Server: fmt.Sprintf("s%04d", i), Zone: string("aabc"[i%4]), Kind: fmt.Sprint("k", 1+i%2), Weight: 1,
		})
	}
	return endpoints
}

// handle passes an event to both balancers and compares their actions.
func (c *indexComparison) handle(event Event) {
	got, want := handle(c.indexed, c.now, event), handle(c.linear, c.now, event)
	if !reflect.DeepEqual(got, want) {
		c.t.Fatalf("after %#v:\nactions with the index\n%+v, with a linear scan\n%+v", event, got, want)
	}
	for _, action := range got {
		if action.Kind == Send {
			action.Attempt = c.attempts[action.ID]
			c.attempts[action.ID]++
			c.inFlight = append(c.inFlight, action)
		}
	}
}

func (c *indexComparison) step(endpoints []Endpoint) {
	t := c.t
	c.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		var changes []Endpoint
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			changes = append(changes, c.drawEndpoint(rapid.IntRange(0, c.servers+5).Draw(t, "server")))
		}
		c.handle(EndpointList{Kind: ListUpdate, Endpoints: changes})
	case 1:
		if rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
			c.handle(EndpointList{Endpoints: endpoints[rapid.IntRange(0, c.servers/2).Draw(t, "from"):]})
		}
	case 2:
		tokens := []uint64{queueTimerToken, firstClassTimerToken, firstClassTimerToken + 1}
		c.handle(Timer{Token: rapid.SampledFrom(tokens).Draw(t, "timer")})
	case 3, 4, 5: // a burst that can bring servers to their thresholds
		for range rapid.IntRange(1, c.servers/4+2).Draw(t, "burst") {
			c.requests++
			c.handle(Request{
				ID: fmt.Sprint("r", c.requests), Class: rapid.SampledFrom([]string{"read", "pay"}).Draw(t, "class"),
				Tenant: "t", ExpiresIn: time.Second, Key: fmt.Sprint(c.requests % 7),
			})
		}
	default:
		for range min(len(c.inFlight), rapid.IntRange(1, c.servers/4+2).Draw(t, "outcomes")) {
			c.endAttempt()
		}
	}
}

func (c *indexComparison) drawEndpoint(i int) Endpoint {
	t := c.t
	endpoint := Endpoint{
		Server: fmt.Sprintf("s%04d", i), Zone: rapid.SampledFrom([]string{"a", "a", "b", "c"}).Draw(t, "zone"),
		Kind: rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "kind"), Weight: 1,
	}
	if rapid.IntRange(0, 9).Draw(t, "young") == 0 {
		endpoint.OnlineSince = c.now - time.Second
	}
	states := []Availability{Running, Running, Running, Draining, Removed}
	endpoint.Availability = rapid.SampledFrom(states).Draw(t, "state")
	return endpoint
}

func (c *indexComparison) endAttempt() {
	t := c.t
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "which")
	sent := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	codes := []Code{OK, OK, OK, OK, ServerError, Overloaded, TimedOut, ConnectFailed, Reset}
	code := rapid.SampledFrom(codes).Draw(t, "code")
	c.handle(Outcome{
		ID: sent.ID, Attempt: sent.Attempt, Server: sent.Server, Code: code, Answered: code == OK,
		Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * ms,
	})
}

// compareOrder compares counts of the two balancers and the state of each server in their orders.
func (c *indexComparison) compareOrder() {
	indexed, linear := c.indexed, c.linear
	if indexed.ejectedCount != linear.ejectedCount || indexed.localCount != linear.localCount ||
		indexed.zoneCount != linear.zoneCount {
		c.t.Fatalf("indexed and linear: %d and %d ejected servers, %d and %d in the zone, %d and %d zones",
			indexed.ejectedCount,
			linear.ejectedCount, indexed.localCount, linear.localCount, indexed.zoneCount, linear.zoneCount)
	}
	for i, got := range indexed.order {
		want := linear.order[i]
		if got.Server != want.Server || got.inSubset != want.inSubset || got.threshold != want.threshold ||
			got.probeIdempotency != want.probeIdempotency {
			c.t.Fatalf("index %d of the order: %+v after incremental changes, %+v after rebuilding", i, got, want)
		}
	}
}

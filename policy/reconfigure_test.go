package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func reconfigure(t *testing.T, b *Balancer, now Time, settings Settings) {
	t.Helper()
	if _, err := b.Reconfigure(now, settings); err != nil {
		t.Fatal(err)
	}
}

// requestOf is a request of tenant t that expires in a second.
func requestOf(class, id string) Request {
	return Request{ID: id, Class: class, Tenant: "t", ExpiresIn: time.Second}
}

// endAttempt hands in the outcome of an attempt at the server that it went to.
func endAttempt(b *Balancer, now Time, id string, attempt int, code Code) []Action {
	server := b.requests[id].attempts[attempt].server.Server
	return handle(b, now, testOutcome(id, attempt, server, code, ms))
}

// A request keeps the settings of its class as they were when it was accepted: one that must never run twice is
// not sent again though the class of its name now may be.
func TestReconfigure_RequestsKeepTheirClass(t *testing.T) {
	b, err := New(reconfigurableSettings(), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, twoEndpoints())
	for _, class := range []string{"pay", "read"} {
		if n := countActions(handle(b, ms, requestOf(class, class)), Send); n != 1 {
			t.Fatalf("%s: %d sends", class, n)
		}
	}
	swapped := reconfigurableSettings()
	swapped.Classes[0].Idempotency, swapped.Classes[1].Idempotency = NonIdempotent, Idempotent
	reconfigure(t, b, 2*ms, swapped)
	acts := endAttempt(b, 3*ms, "pay", 0, Reset)
	if countActions(acts, Send) != 0 || countActions(acts, Fail) != 1 {
		t.Errorf("a booking that may have run: %+v", acts)
	}
	acts = endAttempt(b, 3*ms, "read", 0, Reset)
	if countActions(acts, Send) != 1 {
		t.Errorf("a search that was safe to repeat when it was accepted: %+v", acts)
	}
	for _, r := range []string{"pay2", "read2"} { // those that come now go by the new rules
		class := strings.TrimSuffix(r, "2")
		handle(b, 4*ms, requestOf(class, r))
		acts := endAttempt(b, 5*ms, r, 0, Reset)
		if want := map[string]int{"pay": 1, "read": 0}[class]; countActions(acts, Send) != want {
			t.Errorf("%s: %+v, want %d sends", r, acts, want)
		}
	}
}

// The budget of retries holds over both generations, also where the new one counts over a
// longer span than the old one remembered.
func TestReconfigure_KeepsRetryBudget(t *testing.T) {
	settings := reconfigurableSettings()
	settings.Rules.RetryBudget = &RetryBudget{MinRetries: 4.5, Window: time.Second}
	b, _ := New(settings, 0, 1)
	b.Handle(0, twoEndpoints())
	retries, now := 0, Time(0)
	retry := func(n int) {
		for i := range n {
			id := fmt.Sprint("r", now, i)
			handle(b, now, requestOf("read", id))
			r := b.requests[id]
			for r != nil && !r.answered && len(r.attempts) < 2 && r.pending > 0 {
				acts := endAttempt(b, now, id, len(r.attempts)-1, Overloaded)
				retries += countActions(acts, Send)
			}
			if r != nil && r.pending > 0 {
				endAttempt(b, now, id, 1, OK)
			}
		}
	}
	retry(10)
	if retries != 4 {
		t.Fatalf("%d retries under the old budget, want 4", retries)
	}
	reconfigure(t, b, now, settings)
	retry(10)
	if retries != 4 {
		t.Errorf("%d retries after a reload with the same budget, want 4", retries)
	}
	now = 1500 * ms
	retry(10) // the old span has passed
	if retries != 8 {
		t.Fatalf("%d retries in two spans, want 8", retries)
	}
	now = 2900 * ms
	retry(1) // by now the old budget has forgotten all but this one
	longer := settings
	longer.Rules.RetryBudget = &RetryBudget{MinRetries: 9.5, Window: 10 * time.Second}
	reconfigure(t, b, now, longer)
	retry(10)
	if retries != 9 {
		t.Errorf("%d retries within the longer span, 9 are allowed", retries)
	}
}

// A server that warms up gets no fresh budget by a reload.
func TestReconfigure_KeepsSlowStartBudget(t *testing.T) {
	sent := func(reloads bool) (n int) {
		settings := reconfigurableSettings()
		settings.Rules.SlowStartShare, settings.Rules.SlowStartWindow = 0.3, 10*time.Second
		settings.Rules.OverloadFactor, settings.Rules.OverloadDuration = 3, time.Second
		b, _ := New(settings, time.Hour, 1)
		warming := Endpoint{Server: "warming", Zone: "a", OnlineSince: time.Hour - ms}
		b.Handle(time.Hour, EndpointList{Endpoints: []Endpoint{warming}})
		for i := range 200 {
			now := time.Hour + Time(i)*ms
			if reloads {
				settings.Classes[0].Deadline += ms
				reconfigure(t, b, now, settings)
			}
			acts := handle(b, now, requestOf("read", fmt.Sprint(i)))
			n += countActions(acts, Send)
		}
		return n
	}
	if with, without := sent(true), sent(false); with > without {
		t.Errorf("%d sends to a server that warms up with reloads, %d without", with, without)
	}
}

// A server that drains after a reload gets no retry of a request accepted before it, of a restricted class either.
func TestReconfigure_DrainingAppliesToRetiredClasses(t *testing.T) {
	settings := reconfigurableSettings()
	settings.Classes[0].Zones = []string{"a"}
	b, _ := New(settings, 0, 1)
	b.Handle(0, twoEndpoints())
	handle(b, ms, requestOf("read", "r"))
	first := b.requests["r"].attempts[0].server.Server
	other := map[string]string{"one": "two", "two": "one"}[first]
	next := reconfigurableSettings()
	next.Classes = next.Classes[1:]
	reconfigure(t, b, 2*ms, next)
	draining := Endpoint{Server: other, Zone: "a", Availability: Draining}
	handle(b, 3*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{draining}})
	acts := endAttempt(b, 4*ms, "r", 0, Reset)
	if countActions(acts, Send) != 0 {
		t.Errorf("sent to a server that drains: %+v", acts)
	}
}

// Buckets survive: used tokens stay used, a lower burst cuts the present ones, and a removed layer
// leaves nothing behind.
func TestReconfigure_KeepsBuckets(t *testing.T) {
	settings := reconfigurableSettings()
	settings.Tenants = []Tenant{{Name: "t", Quota: 0}}
	settings.RateLimits.Default = &Limit{PerWindow: 10, Window: time.Second, Burst: 100}
	settings.RateLimits.PerClass = map[string]Limit{"pay": {PerWindow: 1, Window: time.Second, Burst: 2}}
	b, _ := New(settings, 0, 1)
	b.Handle(0, twoEndpoints())
	admitted := func(now Time, class, tenant string, n int) (ok int) {
		b.now = now
		for range n {
			if may, _ := b.admit(tenant, class); may {
				ok++
			}
		}
		return ok
	}
	if n := admitted(0, "pay", "x", 5); n != 2 {
		t.Fatalf("%d of pay at first, want its burst of 2", n)
	}
	if n := admitted(0, "read", "x", 60); n != 60 {
		t.Fatalf("%d of read", n)
	}
	reconfigure(t, b, 0, settings)
	if n := admitted(0, "pay", "x", 5); n != 0 {
		t.Errorf("%d of pay right after a reload: the burst was handed out again", n)
	}
	lower := settings
	lower.RateLimits.Default = &Limit{PerWindow: 10, Window: time.Second, Burst: 5}
	lower.RateLimits.PerClass = nil
	reconfigure(t, b, 0, lower)
	if n := admitted(0, "read", "x", 60); n != 5 {
		t.Errorf("%d of read under a burst of 5", n)
	}
	if _, ok := b.buckets[bucketKey{"x", "pay"}]; ok {
		t.Error("the bucket of a layer that is gone is still there")
	}
}

// Settings that make no sense change nothing, and classes without requests are not kept.
func TestReconfigure_RejectsInvalidAndForgetsRetiredClasses(t *testing.T) {
	b, _ := New(reconfigurableSettings(), 0, 1)
	b.Handle(0, twoEndpoints())
	bad := reconfigurableSettings()
	bad.Classes[1].Deadline = -1
	if _, err := b.Reconfigure(0, bad); err == nil || !strings.Contains(err.Error(), `class "pay": deadline`) {
		t.Errorf("got %v", err)
	}
	if b.classes["pay"].Deadline != time.Second {
		t.Error("a bad configuration changed something")
	}
	same := b.classes["read"]
	reconfigure(t, b, 0, reconfigurableSettings())
	if b.classes["read"] != same || len(b.retiredClasses) != 0 {
		t.Error("a class that is as it was has been replaced")
	}
	for i := range 200 {
		settings := reconfigurableSettings()
		settings.Classes[0].Deadline += Time(i+1) * ms
		now := Time(i) * ms
		handle(b, now, requestOf("read", fmt.Sprint(i)))
		reconfigure(t, b, now, settings)
		endAttempt(b, now, fmt.Sprint(i), 0, OK)
	}
	reconfigure(t, b, time.Second, reconfigurableSettings())
	if len(b.retiredClasses) != 0 {
		t.Errorf("%d classes of former settings are kept without a request", len(b.retiredClasses))
	}
}

// Slow attempts of a class are still checked after its settings have gone: a hedged request is sent.
func TestReconfigure_HedgesRetiredClasses(t *testing.T) {
	settings := reconfigurableSettings()
	settings.Capabilities.Hedge = true
	b, _ := New(settings, 0, 1)
	b.Handle(0, twoEndpoints())
	acts := handle(b, ms, requestOf("read", "r"))
	var timer Action
	for _, a := range acts {
		if a.Kind == SetTimer && a.Token >= firstClassTimerToken {
			timer = a
		}
	}
	if timer.Token == 0 {
		t.Fatalf("no timer for slow attempts was set: %+v", acts)
	}
	next := settings
	next.Classes = append([]Class(nil), settings.Classes...)
	next.Classes[0].LatencyObjective, next.Capabilities.Hedge = 100*ms, false
	reconfigure(t, b, 2*ms, next)
	if acts := handle(b, ms+timer.Wait, Timer{Token: timer.Token}); countActions(acts, Send) != 1 {
		t.Errorf("no hedged request: %+v", acts)
	}
}

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

// requestOf returns a request of tenant "t" that expires in a second.
func requestOf(class, id string) Request {
	return Request{ID: id, Class: class, Tenant: "t", ExpiresIn: time.Second}
}

// endAttempt passes the outcome of an attempt to b, and returns the resulting actions.
func endAttempt(b *Balancer, now Time, id string, attempt int, code Code) []Action {
	server := b.requests[id].attempts[attempt].server.Server
	return handle(b, now, testOutcome(id, attempt, server, code, ms))
}

// TestReconfigure_RequestsKeepTheirClass checks that a request keeps the class settings that were active when it was
// accepted. A request accepted as non-idempotent is not sent again, even if its class is idempotent in the new
// settings.
func TestReconfigure_RequestsKeepTheirClass(t *testing.T) {
	b, err := New(reconfigurableSettings(), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, twoEndpoints())
	for _, class := range []string{"pay", "read"} {
		if n := countActions(handle(b, ms, requestOf(class, class)), Send); n != 1 {
			t.Fatalf("request of class %s: %d sends, want 1", class, n)
		}
	}
	swapped := reconfigurableSettings()
	swapped.Classes[0].Idempotency, swapped.Classes[1].Idempotency = NonIdempotent, Idempotent
	reconfigure(t, b, 2*ms, swapped)
	acts := endAttempt(b, 3*ms, "pay", 0, Reset)
	if countActions(acts, Send) != 0 || countActions(acts, Fail) != 1 {
		t.Errorf("accepted as non-idempotent, then reset: got %+v, want one Fail and no Send", acts)
	}
	acts = endAttempt(b, 3*ms, "read", 0, Reset)
	if countActions(acts, Send) != 1 {
		t.Errorf("accepted as idempotent, then reset: got %+v, want one Send", acts)
	}
	for _, r := range []string{"pay2", "read2"} { // later requests follow the new settings
		class := strings.TrimSuffix(r, "2")
		handle(b, 4*ms, requestOf(class, r))
		acts := endAttempt(b, 5*ms, r, 0, Reset)
		if want := map[string]int{"pay": 1, "read": 0}[class]; countActions(acts, Send) != want {
			t.Errorf("request %s, accepted under the new settings: %+v, want %d sends", r, acts, want)
		}
	}
}

// TestReconfigure_KeepsRetryBudget checks that retries before Reconfigure count in the retry budget after
// Reconfigure, even if the new window is longer than the old one.
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
		t.Fatalf("%d retries under the old settings, want 4", retries)
	}
	reconfigure(t, b, now, settings)
	retry(10)
	if retries != 4 {
		t.Errorf("%d retries after reconfiguring with the same budget, want still 4", retries)
	}
	now = 1500 * ms
	retry(10) // the retries have left the window
	if retries != 8 {
		t.Fatalf("%d retries in two windows, want 8", retries)
	}
	now = 2900 * ms
	retry(1) // the only retry in the old window
	longer := settings
	longer.Rules.RetryBudget = &RetryBudget{MinRetries: 9.5, Window: 10 * time.Second}
	reconfigure(t, b, now, longer)
	retry(10)
	if retries != 9 {
		t.Errorf("%d retries within the longer window, want the 9 allowed", retries)
	}
}

// TestReconfigure_KeepsSlowStartBudget checks that Reconfigure does not reset the slow start bucket of a server.
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
		t.Errorf("%d sends to a server in slow start with reconfigurations, %d without", with, without)
	}
}

// TestReconfigure_DrainingAppliesToRetiredClasses checks that a server that starts to drain after Reconfigure gets no
// retry of a request accepted before Reconfigure. The class of that request is restricted to a zone and is missing
// from the new settings.
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
		t.Errorf("retry sent to a draining server: %+v", acts)
	}
}

// TestReconfigure_KeepsBuckets checks that Reconfigure keeps the buckets. Used tokens stay used, a lower burst
// reduces the remaining tokens, and the buckets of a removed limit are deleted.
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
			if allowed, _ := b.admit(tenant, class); allowed {
				ok++
			}
		}
		return ok
	}
	if n := admitted(0, "pay", "x", 5); n != 2 {
		t.Fatalf("%d requests of pay admitted at first, want its burst of 2", n)
	}
	if n := admitted(0, "read", "x", 60); n != 60 {
		t.Fatalf("%d requests of read admitted, want all 60", n)
	}
	reconfigure(t, b, 0, settings)
	if n := admitted(0, "pay", "x", 5); n != 0 {
		t.Errorf("%d requests of pay admitted right after Reconfigure, want 0: its bucket was refilled", n)
	}
	lower := settings
	lower.RateLimits.Default = &Limit{PerWindow: 10, Window: time.Second, Burst: 5}
	lower.RateLimits.PerClass = nil
	reconfigure(t, b, 0, lower)
	if n := admitted(0, "read", "x", 60); n != 5 {
		t.Errorf("%d requests of read admitted under a burst of 5, want 5", n)
	}
	if _, ok := b.buckets[bucketKey{"x", "pay"}]; ok {
		t.Error("the bucket of a removed limit is still there")
	}
}

// TestReconfigure_RejectsInvalidAndForgetsRetiredClasses checks that invalid settings change nothing, and that
// classes of former settings are deleted once they have no requests.
func TestReconfigure_RejectsInvalidAndForgetsRetiredClasses(t *testing.T) {
	b, _ := New(reconfigurableSettings(), 0, 1)
	b.Handle(0, twoEndpoints())
	bad := reconfigurableSettings()
	bad.Classes[1].Deadline = -1
	if _, err := b.Reconfigure(0, bad); err == nil || !strings.Contains(err.Error(), `class "pay": deadline`) {
		t.Errorf("got error %v, want one about the deadline of class pay", err)
	}
	if b.classes["pay"].Deadline != time.Second {
		t.Error("invalid settings changed a class")
	}
	unchanged := b.classes["read"]
	reconfigure(t, b, 0, reconfigurableSettings())
	if b.classes["read"] != unchanged || len(b.retiredClasses) != 0 {
		t.Error("an unchanged class was replaced")
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
		t.Errorf("%d classes of former settings are kept without requests", len(b.retiredClasses))
	}
}

// TestReconfigure_HedgesRetiredClasses checks that slow attempts of a class that Reconfigure has replaced are still
// checked and hedged.
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
		t.Errorf("got %+v, want one hedged request", acts)
	}
}

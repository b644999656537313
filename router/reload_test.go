package router

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// TestReload_UnderLoad reloads the configuration twenty times a second for ten seconds under load. The reloads change
// classes, tenants, limits and servers. Each request must get one answer. No request of class "pay" is sent again
// once it may have run. At the end the newest configuration is in force and no request is left.
func TestReload_UnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checker := newRuleChecker(rand.NewPCG(1, 2))
		config := testConfig()
		config.Endpoints = testEndpoints(6)
		r, _ := newTestRouterWithConfig(t, config, &fakeTransport{attempt: checker.attempt}, nil)
		load := startLoad(t, r, 16)
		var newest Config
		for i := range 200 {
			newest = changedConfig(i)
			if err := r.Reload(newest); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * ms)
		}
		load.stop()
		for _, violation := range checker.violations {
			t.Error(violation)
		}
		if served := load.answers[Served].Load(); served < 5_000 {
			t.Errorf("%d requests were served, want at least 5000", served)
		}
		want := newest.Settings.Classes[1].Deadline
		if class, _ := r.Class("pay"); class.Deadline != want {
			t.Errorf("pay has the deadline %v, want %v as in the newest configuration", class.Deadline, want)
		}
		time.Sleep(time.Minute) // long enough for all timers of the balancer to fire
		stats := r.Stats()
		wantNothingLeft(t, stats)
		if stats.Reloads != 200 || stats.EndpointsByAvailability[policy.Running] != len(newest.Endpoints) {
			t.Errorf("unexpected statistics: %+v", stats)
		}
		if stats.Timers > 8 {
			t.Errorf("%d timers are left, want at most 8", stats.Timers)
		}
	})
}

// changedConfig returns the configuration with the number i in TestReload_UnderLoad.
func changedConfig(i int) Config {
	config := testConfig()
	config.Endpoints = testEndpoints(3 + i%4)
	config.MaxInFlight = 50 + i
	config.Settings.Classes[i%3].Deadline += time.Duration(i+1) * ms
	config.Settings.Capabilities.MaxAttempts = 1 + i%4
	config.Settings.Tenants = []policy.Tenant{{Name: "t", Quota: float64(50_000 + i)}}
	return config
}

// loadGenerator runs clients until it is stopped. Each client sends a request every 5 ms, with all classes in turn.
type loadGenerator struct {
	answers [len(outcomeNames)]atomic.Int64 // by Outcome
	clients sync.WaitGroup
	stopped chan struct{}
}

func startLoad(t *testing.T, r *Router, clients int) *loadGenerator {
	t.Helper()
	load := &loadGenerator{stopped: make(chan struct{})}
	for i := range clients {
		load.clients.Go(func() { load.run(t, r, i) })
	}
	return load
}

func (l *loadGenerator) run(t *testing.T, r *Router, client int) {
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-time.After(5 * ms):
		}
		class := []string{"read", "pay", "undo"}[n%3]
		id := fmt.Sprint(client, "-", n)
		answer, err := r.Do(t.Context(), Request{ID: id, Class: class, Tenant: "t", IdempotencyKey: "k", Target: "/"})
		if err != nil {
			t.Errorf("%s: %v", class, err)
			return
		}
		l.answers[answer.Outcome].Add(1)
	}
}

func (l *loadGenerator) stop() {
	close(l.stopped)
	l.clients.Wait()
}

// TestReload_InvalidConfigChangesNothing checks that an invalid configuration changes nothing. The error must name
// the field.
func TestReload_InvalidConfigChangesNothing(t *testing.T) {
	tests := map[string]struct {
		field  string
		want   string
		change func(*Config)
	}{
		"negative bound": {"MaxInFlight", "MaxInFlight", func(c *Config) { c.MaxInFlight = -1 }},
		"endpoint twice": {"Endpoints[1].ID", "Endpoints[1].ID", func(c *Config) {
			c.Endpoints = append(c.Endpoints, c.Endpoints[0])
		}},
		"endpoint without address": {"Endpoints[0].Addr", "Endpoints[0].Addr", func(c *Config) {
			c.Endpoints = []Endpoint{{ID: "x"}}
		}},
		"class without deadline": {"Settings", `class "pay"`, func(c *Config) { c.Settings.Classes[1].Deadline = 0 }},
		"no classes":             {"Settings", "classes: at least one", func(c *Config) { c.Settings.Classes = nil }},
		"unknown node":           {"Settings", "node 7", func(c *Config) { c.Settings.Node = 7 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
				config := testConfig()
				test.change(&config)
				err := r.Reload(config)
				var invalid *ConfigError
				if !errors.As(err, &invalid) || invalid.Field != test.field {
					t.Errorf("got %v, want an error of %s", err, test.field)
				} else if !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
					t.Errorf("got %v, want one line that names %s", err, test.want)
				}
				wantDo(t, r, Request{ID: "r", Class: "pay", Tenant: "t"}, Served)
				if stats := r.Stats(); stats.Reloads != 0 || stats.EndpointsByAvailability[policy.Running] != 1 {
					t.Errorf("unexpected statistics: %+v", stats)
				}
			})
		})
	}
}

// TestReload_KeepsUsedIDs checks that a request ID that was used before a reload still counts as used after the
// reload.
func TestReload_KeepsUsedIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		pay := Request{ID: "r", Class: "pay", Tenant: "t"}
		wantDo(t, r, pay, Served)
		config := testConfig()
		config.Settings.Classes[1].Deadline += ms
		if err := r.Reload(config); err != nil {
			t.Fatal(err)
		}
		wantDo(t, r, pay, Conflict)
	})
}

// TestReload_RemovesClass checks that a removed class is unknown to new requests. Open requests of the class end as
// without the reload.
func TestReload_RemovesClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		transport := &fakeTransport{attempt: serveAfter(release)}
		r, _ := newTestRouter(t, transport, nil)
		open := startDo(t.Context(), r, Request{ID: "open", Class: "pay", Tenant: "t"})
		synctest.Wait()
		config := testConfig()
		config.Settings.Classes = config.Settings.Classes[:1]
		if err := r.Reload(config); err != nil {
			t.Fatal(err)
		}
		_, err := r.Do(t.Context(), Request{ID: "new", Class: "pay", Tenant: "t"})
		wantInvalid(t, err, "Class")
		close(release)
		wantResult(t, "the open request", open, Served)
		if n := transport.configured.Load(); n != 2 {
			t.Errorf("the transport was configured %d times, want at the start and at the reload", n)
		}
	})
}

package discovery

import (
	"testing"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// TestEqual_EveryField checks that Equal detects a change of each field of an endpoint.
func TestEqual_EveryField(t *testing.T) {
	started := time.UnixMilli(5000)
	base := func() router.Endpoint {
		return router.Endpoint{
			ID: "s1", Addr: "127.0.0.1:9", Pools: []string{"rooms"}, Zone: "a", Kind: "big", Cell: policy.NewCell(1), Weight: 2,
			Started: started, Availability: policy.Running,
		}
	}
	same := base()
	same.Started = started.UTC()
	if !Equal(base(), same) {
		t.Error("endpoints that start at the same instant in different time zones are not equal")
	}
	for name, change := range map[string]func(*router.Endpoint){
		"id":             func(e *router.Endpoint) { e.ID = "s2" },
		"address":        func(e *router.Endpoint) { e.Addr = "127.0.0.1:10" },
		"pools":          func(e *router.Endpoint) { e.Pools = []string{"rooms", "mail"} },
		"zone":           func(e *router.Endpoint) { e.Zone = "b" },
		"zone uncertain": func(e *router.Endpoint) { e.ZoneUncertain = true },
		"kind":           func(e *router.Endpoint) { e.Kind = "small" },
		"cell":           func(e *router.Endpoint) { e.Cell = policy.NewCell(2) },
		"weight":         func(e *router.Endpoint) { e.Weight = 1 },
		"start":          func(e *router.Endpoint) { e.Started = started.Add(time.Millisecond) },
		"start unknown":  func(e *router.Endpoint) { e.StartUnknown = true },
		"availability":   func(e *router.Endpoint) { e.Availability = policy.Draining },
	} {
		t.Run(name, func(t *testing.T) {
			other := base()
			change(&other)
			if Equal(base(), other) {
				t.Error("endpoints that differ in this field are equal")
			}
		})
	}
}

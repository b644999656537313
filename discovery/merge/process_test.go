package merge

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// bothOrders runs test once for each source that may come first. The test passes its sources through order.
func bothOrders(t *testing.T, test func(t *testing.T, view *routerView, order func(source int) int)) {
	for first := range 2 {
		t.Run(fmt.Sprintf("first=%d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test(t, newView(t), func(source int) int { return (source + first) % 2 })
			})
		})
	}
}

// only returns the published endpoint, which must be the only one.
func (v *routerView) only() router.Endpoint {
	v.t.Helper()
	if len(v.endpoints) != 1 {
		v.t.Fatalf("published %v, want one server", v.endpoints)
	}
	for _, endpoint := range v.endpoints {
		return endpoint
	}
	panic("unreachable")
}

// TestSource_AttributesWithoutStart guards against keyed requests that run in two cells: the attributes that a source
// reports without a start time must not be lost because another source reports the start.
func TestSource_AttributesWithoutStart(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		attributes, start := newEndpoint("s1", "a:1", running), newEndpoint("a:1", "a:1", running)
		attributes.Zone, attributes.Kind, attributes.Cell = "z1", "big", policy.NewCell(1)
		attributes.Pools, start.Pools = []string{"rooms"}, []string{"mail"}
		start.Started = time.Now().Add(-time.Hour)
		view.apply(order(0), replace, attributes)
		view.apply(order(1), replace, start)
		got := view.only()
		if got.Zone != "z1" || got.Kind != "big" || got.Cell != policy.NewCell(1) || !got.Started.Equal(start.Started) ||
			!slices.Equal(got.Pools, []string{"mail", "rooms"}) {
			t.Errorf("published %+v, want the attributes of one source and the start of the other", got)
		}
	})
}

// TestSource_DrainWithoutStart guards against new work for a server that is draining or removed: the drain by a source
// that reports no start time must be obeyed although another source reports the start, and the reverse.
func TestSource_DrainWithoutStart(t *testing.T) {
	for _, end := range []policy.Availability{draining, removed} {
		for drainedBy := range 2 {
			t.Run(fmt.Sprintf("availability=%d/by=%d", end, drainedBy), func(t *testing.T) {
				bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
					reports := []router.Endpoint{newEndpoint("s1", "a:1", running), newEndpoint("x1", "a:1", running)}
					reports[1].Started = time.Now().Add(-time.Hour)
					view.apply(order(0), replace, reports[0])
					view.apply(order(1), replace, reports[1])
					time.Sleep(time.Second)
					reports[drainedBy].Availability = end
					view.apply(order(drainedBy), update, reports[drainedBy])
					if got := view.only(); got.Availability != draining {
						t.Errorf("published %+v, want it to drain", got)
					}
					time.Sleep(time.Second)
					reports[drainedBy].Availability = running
					view.apply(order(drainedBy), update, reports[drainedBy])
					if got := view.only(); got.Availability != running {
						t.Errorf("published %+v after its source listed it again, want it to run", got)
					}
				})
			})
		}
	}
}

// TestSource_StartReportedLate guards against new work for a draining server: a start that a source reports after the
// drain, but that was before the drain, does not end the drain of a source that reports no start times.
func TestSource_StartReportedLate(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		started := newEndpoint("x1", "a:1", running)
		started.Started = time.Now().Add(-time.Second)
		view.apply(order(0), replace, newEndpoint("s1", "a:1", draining))
		time.Sleep(10 * time.Second)
		view.apply(order(1), replace, started)
		if got := view.only(); got.Availability != draining {
			t.Errorf("published %+v, want it to drain", got)
		}
	})
}

// TestSource_StartTimesDiffer guards against new work for a draining server: two sources that report slightly different
// start times report the same process.
func TestSource_StartTimesDiffer(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		earlier, later := newEndpoint("s1", "a:1", running), newEndpoint("x1", "a:1", running)
		earlier.Started = time.Now().Add(-time.Minute)
		later.Started = earlier.Started.Add(time.Second)
		earlier.Cell = policy.NewCell(1)
		view.apply(order(0), replace, earlier)
		view.apply(order(1), replace, later)
		if got := view.only(); got.Cell != earlier.Cell || !got.Started.Equal(later.Started) {
			t.Errorf("published %+v, want cell %v and the later start", got, earlier.Cell)
		}
		earlier.Availability = draining
		view.apply(order(0), update, earlier)
		if got := view.only(); got.Availability != draining {
			t.Errorf("published %+v, want it to drain", got)
		}
	})
}

// TestSource_RestartReportedByOneSource guards against stale cells and lost pools: after a restart that one source
// reports, the cell in an older report without a start is unknown, also if it is repeated, until its source lists the
// server anew. The server keeps its id, its pools and its kind.
func TestSource_RestartReportedByOneSource(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		attributes, start := newEndpoint("s1", "a:1", running), newEndpoint("s1", "a:1", running)
		attributes.Zone, attributes.Kind, attributes.Cell = "z1", "big", policy.NewCell(1)
		attributes.Pools = []string{"rooms"}
		view.apply(order(0), replace, attributes)
		view.apply(order(1), replace, start)
		time.Sleep(time.Minute)
		start.Started = time.Now()
		time.Sleep(time.Second)
		view.apply(order(1), update, start)
		got := view.only()
		if got.Cell.Known() || got.Zone != "z1" || !got.ZoneUncertain || got.Kind != "big" ||
			!slices.Equal(got.Pools, attributes.Pools) || got.Availability != running {
			t.Errorf("published %+v after the restart, want an unknown cell, an uncertain zone, and all else as before", got)
		}
		view.apply(order(0), replace, attributes)
		if got := view.only(); got.Cell.Known() || !got.ZoneUncertain {
			t.Errorf("published %+v after the list was repeated, want an unknown cell and an uncertain zone", got)
		}
		attributes.Availability = draining
		view.apply(order(0), update, attributes)
		attributes.Availability = running
		view.apply(order(0), update, attributes)
		if got := view.only(); got.Cell != attributes.Cell || got.ZoneUncertain {
			t.Errorf("published %+v after it was listed anew, want cell %v and a certain zone", got, attributes.Cell)
		}
	})
}

// TestSource_ContradictingGroups guards against keyed requests that run in two cells or zones: if sources contradict
// each other about a process, none of them determines which servers discard duplicates.
func TestSource_ContradictingGroups(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		reports := []router.Endpoint{newEndpoint("s1", "a:1", running), newEndpoint("x1", "a:1", running)}
		reports[0].Zone, reports[0].Cell = "z1", policy.NewCell(1)
		reports[1].Zone, reports[1].Cell = "z2", policy.NewCell(0)
		var log strings.Builder
		view.source.Log = slog.New(slog.NewTextHandler(&log, nil))
		view.apply(order(0), replace, reports[0])
		view.apply(order(1), replace, reports[1])
		view.apply(order(1), replace, reports[1])
		if n := strings.Count(log.String(), "contradict"); n != 1 {
			t.Errorf("%d lines about the contradiction, want one: %s", n, &log)
		}
		first := reports[order(0)]
		if got := view.only(); got.Cell != policy.ConflictingCell || got.Zone != first.Zone || !got.ZoneUncertain {
			t.Errorf("published %+v, want a conflicting cell and an uncertain zone %s", got, first.Zone)
		}
		reports[1].Zone, reports[1].Cell = reports[0].Zone, reports[0].Cell
		view.apply(order(1), update, reports[1])
		if got := view.only(); got.Cell != reports[0].Cell || got.Zone != "z1" || got.ZoneUncertain {
			t.Errorf("published %+v once the sources agree, want cell 1 and zone z1", got)
		}
	})
}

// TestSource_StartUnknown guards against keyed retries at restarted servers: the start of a server is unknown only if
// no source names it. A start long ago, which a source names as the zero time, is known.
func TestSource_StartUnknown(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		unknown, longAgo := newEndpoint("s1", "a:1", running), newEndpoint("x1", "a:1", running)
		unknown.StartUnknown = true
		view.apply(order(0), replace, unknown)
		if got := view.only(); !got.StartUnknown {
			t.Errorf("published %+v, want an unknown start", got)
		}
		view.apply(order(1), replace, longAgo)
		if got := view.only(); got.StartUnknown || !got.Started.IsZero() {
			t.Errorf("published %+v, want a start long ago", got)
		}
	})
}

// TestSource_RemovalAfterRestart guards against new work for a removed server: the removal by a source that names no
// starts is about the process that started before the removal, also if that start is reported only later.
func TestSource_RemovalAfterRestart(t *testing.T) {
	bothOrders(t, func(t *testing.T, view *routerView, order func(int) int) {
		restarted := newEndpoint("s1", "a:1", running)
		view.apply(order(0), replace, newEndpoint("s1", "a:1", running))
		view.apply(order(1), replace, restarted)
		time.Sleep(10 * time.Second)
		restarted.Started = time.Now()
		time.Sleep(10 * time.Second)
		view.apply(order(0), replace)
		time.Sleep(10 * time.Second)
		view.apply(order(1), update, restarted)
		if got := view.only(); got.Availability != draining {
			t.Errorf("published %+v, want it to drain", got)
		}
	})
}

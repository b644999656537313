package main

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	"cobaltward/tools/internal/benchkit"
)

// settleTime is the time for a node to apply the first lists before updates are measured.
const settleTime = 500 * time.Millisecond

// updateRun measures updates that change one endpoint of the first cluster.
type updateRun struct {
	bin        string
	endpoints  int // number of endpoints in all clusters
	perCluster int
	delta      bool
	rounds     int // number of updates; the first update changes nothing and is not counted
}

// updateCost is the cost of the counted updates. Each latency is the time from the push of an update until the router
// has applied it. The CPU time and the allocations are totals over all counted updates.
type updateCost struct {
	latencies []time.Duration
	cpu       time.Duration
	allocs    uint64
}

func (u updateRun) measure() error {
	plane, err := startControlPlane(u.bin, u.script())
	if err != nil {
		return err
	}
	defer plane.stop()
	if _, err := plane.await("pushed "); err != nil {
		return err
	}
	subject, err := newNode(plane.addr, u.delta)
	if err != nil {
		return err
	}
	defer func() { _ = subject.router.Close() }()
	if _, err := plane.await(": wait 1s"); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for len(subject.updates) > 0 {
		<-subject.updates
	}
	var total updateCost
	for i := range u.rounds {
		if err := total.measureUpdate(plane, subject, i > 0); err != nil {
			return err
		}
	}
	u.print(total)
	return nil
}

// script returns the control plane's script. The first cluster alternates between all of its endpoints and all except
// one endpoint.
func (u updateRun) script() string {
	var script strings.Builder
	for i := range max(1, u.endpoints/u.perCluster) {
		fmt.Fprintf(&script, "cluster c%d\nmany c%d %d %d\n", i, i, u.perCluster, 1000+i)
	}
	fmt.Fprintf(&script, "push\nexpect acks 2 within 60s\nwait 1s\n")
	for i := range u.rounds {
		fmt.Fprintf(&script, "many c0 %d 1000\npush\nwait 500ms\n", u.perCluster-i%2)
	}
	return script.String()
}

// measureUpdate waits until the next update is pushed. If counted is set, it waits until the router has applied the
// update, and adds the cost of the update.
func (c *updateCost) measureUpdate(plane *controlPlane, subject *node, counted bool) error {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore, err := benchkit.CPUTime()
	if err != nil {
		return err
	}
	pushed, err := plane.await("pushed ")
	if err != nil || !counted {
		return err
	}
	nanoseconds, err := strconv.ParseInt(pushed, 10, 64)
	if err != nil {
		return err
	}
	applied := <-subject.updates
	c.latencies = append(c.latencies, applied.Sub(time.Unix(0, nanoseconds)))
	cpuAfter, err := benchkit.CPUTime()
	if err != nil {
		return err
	}
	c.cpu += cpuAfter - cpuBefore
	runtime.ReadMemStats(&after)
	c.allocs += after.Mallocs - before.Mallocs
	return nil
}

func (u updateRun) print(total updateCost) {
	variant := "sotw"
	if u.delta {
		variant = "delta"
	}
	counted := len(total.latencies)
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
	fmt.Printf("%6d endpoints, %s, %6d in the cluster that changes: push to applied median %v, maximum %v; "+
		"CPU %v, %d allocations per update\n",
		u.endpoints, variant, u.perCluster,
		round(benchkit.Quantile(total.latencies, 0.5)), round(benchkit.Quantile(total.latencies, 1)),
		round(total.cpu/time.Duration(counted)), total.allocs/uint64(counted))
}

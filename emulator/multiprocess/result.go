package multiprocess

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"cobaltward/fleet/agent"
)

// maxReportedLogLines is the maximum number of log lines per process that the result of a failed run contains.
const maxReportedLogLines = 60

// Result is the outcome of a run.
type Result struct {
	Script         *Script
	Violations     []string // descriptions of the broken invariants
	Effects        int
	Tokens         int    // number of different fencing tokens among the effects
	LateEffects    int    // effects with a token older than that of an earlier effect at any node
	Rejected       uint64 // effects that agents rejected
	Patches        int
	RollingUpdates int            // rolling updates that ended
	Faults         map[string]int // number of injected faults by kind
	MessageSummary string         // counts of messages between processes
	LeaseRequests  []LeaseRequest
	Log            string // all effects and the last log lines; empty if no invariant is broken
	Traffic        string // counts of the requests to real nodes; empty for stand-ins
}

// String returns the counts on one line.
func (r *Result) String() string {
	var faults []string
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		faults = append(faults, fmt.Sprintf("%s %d", kind, r.Faults[kind]))
	}
	return fmt.Sprintf("%d effects under %d fencing tokens (%d late and harmless, %d rejected), "+
		"%d patches in %d rolling updates; %s; %s",
		r.Effects, r.Tokens, r.LateEffects, r.Rejected, r.Patches, r.RollingUpdates,
		strings.Join(faults, ", "), r.MessageSummary+r.Traffic)
}

// result collects the counts of the run.
func (h *Harness) result() *Result {
	h.mu.Lock()
	result := &Result{Script: h.script, Faults: maps.Clone(h.injected), RollingUpdates: h.updatesEnded}
	h.mu.Unlock()
	if h.traffic != nil {
		result.Traffic = h.traffic.String()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := h.Client()
	for _, name := range h.script.Names() {
		var status agent.Status
		if !isReplica(name) && client.Call(ctx, http.MethodGet, canonicalAddress(name), "/node", struct{}{}, &status) == nil {
			result.Rejected += status.Rejected
		}
		result.LeaseRequests = append(result.LeaseRequests, readLeaseRequests(h.path(name+leaseHistorySuffix))...)
	}
	h.checker.addTo(result)
	result.MessageSummary = h.Messages.String()
	return result
}

// logs returns all effects and the last log lines of each process.
func (h *Harness) logs() string {
	var text strings.Builder
	if h.checker != nil {
		for _, e := range h.checker.recordedEffects() {
			fmt.Fprintln(&text, e)
		}
	}
	for _, name := range h.processNames() {
		lines := h.processes[name].logLines()
		shown := lines[max(0, len(lines)-maxReportedLogLines):]
		fmt.Fprintf(&text, "--- %s\n%s\n", name, strings.Join(shown, "\n"))
	}
	return text.String()
}

package node

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"time"
)

const (
	// memoryCheckInterval is the interval between checks of the heap.
	memoryCheckInterval = time.Second
	// memoryWarnShare is the share of the heap limit from which a warning is logged.
	memoryWarnShare = 0.9
	// memoryWarnInterval is the minimum interval between two warnings.
	memoryWarnInterval = 10 * time.Second
)

// Names of metrics of the Go runtime. The memory in use is the total without the memory returned to the system.
const (
	runtimeTotalMemory    = "/memory/classes/total:bytes"
	runtimeReleasedMemory = "/memory/classes/heap/released:bytes"
)

// resourceUsage is the use of the node's limited resources.
type resourceUsage struct {
	heap, heapLimit  uint64 // memory of the Go runtime and its limit, in bytes
	bodies           uint64 // memory of buffered bodies, in bytes
	clients, servers int    // open connections
	delayedRequests  uint64 // requests delayed by pacing so far
	queuedCalls      int    // MessagePack-RPC calls that wait because their clients have many open calls
	queueTimeouts    uint64 // MessagePack-RPC calls rejected so far because they waited for too long
}

// resourceUsage returns the present use of resources.
func (n *node) resourceUsage() resourceUsage {
	samples := []metrics.Sample{{Name: runtimeTotalMemory}, {Name: runtimeReleasedMemory}}
	metrics.Read(samples)
	clients, _ := n.engine.ClientConnections()
	use := resourceUsage{
		heap:            samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		heapLimit:       uint64(n.config.HeapLimit()),
		bodies:          uint64(n.bodies.Budget.Used()),
		clients:         clients,
		servers:         n.engine.Conns(),
		delayedRequests: n.pacing.Delayed(),
	}
	if n.rpcServer != nil {
		stats := n.rpcServer.Stats()
		use.queuedCalls, use.queueTimeouts = stats.Queued, stats.QueueTimeouts
	}
	return use
}

// appendResources appends the use of resources to the metrics.
func appendResources(page []byte, use resourceUsage) []byte {
	page = appendMetric(page, "memory", "heap", use.heap)
	page = appendMetric(page, "memory", "heap_limit", use.heapLimit)
	page = appendMetric(page, "memory", "bodies", use.bodies)
	page = appendMetric(page, "paced", "", use.delayedRequests)
	page = appendMetric(page, "calls", "queued", uint64(use.queuedCalls))
	return appendMetric(page, "calls", "queue_timeouts", use.queueTimeouts)
}

// watchMemory logs a warning while the heap is close to its limit, until ctx ends. A process that the platform kills
// for its memory logs nothing else.
func (n *node) watchMemory(ctx context.Context) {
	var warnedAt time.Time
	for sleep(ctx, memoryCheckInterval) {
		use := n.resourceUsage()
		if float64(use.heap) < memoryWarnShare*float64(use.heapLimit) || time.Since(warnedAt) < memoryWarnInterval {
			continue
		}
		warnedAt = time.Now()
		n.log.Warn("memory is close to its limit", slog.Uint64("heap", use.heap), slog.Uint64("limit", use.heapLimit),
			slog.Uint64("bodies", use.bodies), slog.Int("clients", use.clients), slog.Int("server_conns", use.servers),
			slog.Uint64("paced", use.delayedRequests))
	}
}

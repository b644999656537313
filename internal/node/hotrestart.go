package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/body"
	"cobaltward/internal/hotrestart"
	"cobaltward/internal/rundir"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

const (
	coordinateInterval     = 100 * time.Millisecond // between looks at the other processes of this node
	successorStateInterval = 250 * time.Millisecond // between snapshots of what is learned, for the successor
	successorStateFile     = "wayhold-knowledge"
)

// connLimiter is a transport whose number of connections can be limited anew.
type connLimiter interface{ SetMaxConns(n int) }

var _ connLimiter = (*http1.Transport)(nil)

// processGroup shares a node between this process and those before and after it, while the platform replaces one by
// another under load. Its run and coordinate are called by one goroutine, publishOrder by any.
type processGroup struct {
	process        *rundir.Process
	engine         *router.Router
	listener       *httpServer
	conns          connLimiter // nil: the transport's limit is fixed
	budget         *body.Budget
	budgetBytes    int64 // of a process that is alone
	limits         hotrestart.Limits
	setMemoryShare func(share float64) // nil: the memory of the process is not limited
	setStandby     func(standby bool) error
	log            *slog.Logger

	draining atomic.Bool // this process accepts no connections any more

	splitter  hotrestart.Splitter
	share     hotrestart.Share
	lastError string // so that a lasting one is logged once

	// orderMu lets one order be written at a time, so that the last one stands. Nothing else waits for it.
	orderMu sync.Mutex

	mu       sync.Mutex
	followed hotrestart.Order // the order that this process follows
}

// joinProcessGroup registers this process in the node's shared directory; nil where that fails, which is logged.
func joinProcessGroup(dir string, log *slog.Logger) *processGroup {
	process, err := rundir.Register(dir)
	if err != nil {
		log.Warn("hot restart: this process and its predecessor will not know of each other", "err", err)
		return nil
	}
	return &processGroup{process: process, log: log}
}

// run coordinates with the other processes until ctx ends.
func (g *processGroup) run(ctx context.Context) {
	ticker := time.NewTicker(coordinateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.coordinate()
		case <-ctx.Done():
			return
		}
	}
}

// coordinate exchanges reports with the other processes, applies this process's share, and follows the order that
// stands.
func (g *processGroup) coordinate() {
	others, err := g.process.Others()
	g.logOnce(err)
	own := g.report()
	g.logOnce(g.process.WriteReport(own))
	g.applyShare(g.splitter.Split(own, others, g.limits))
	if !g.draining.Load() { // else it drains whatever the order says
		g.followOrder()
	}
}

// report is what this process tells the others.
func (g *processGroup) report() hotrestart.Report {
	metrics := g.engine.Metrics()
	accepted := uint64(max(0, metrics.InFlight))
	for _, class := range metrics.Classes {
		accepted += class.Served + class.Busy + class.Failure
	}
	clientConns, _ := g.listener.Connections()
	return hotrestart.Report{
		At:          time.Now(),
		Accepted:    accepted,
		ClientConns: clientConns,
		ServerConns: g.engine.Conns(),
		Draining:    g.draining.Load(),
	}
}

// applyShare limits this process to its share of the node.
func (g *processGroup) applyShare(share hotrestart.Share) {
	if share == g.share {
		return
	}
	if share.Traffic != g.share.Traffic {
		g.logOnce(g.engine.SetTrafficShare(share.Traffic))
	}
	g.listener.listener.setMaxConns(share.ClientConns)
	if g.conns != nil {
		g.conns.SetMaxConns(share.ServerConns)
	}
	g.budget.SetMost(int64(share.Memory * float64(g.budgetBytes)))
	if g.setMemoryShare != nil && share.Memory != g.share.Memory {
		g.setMemoryShare(share.Memory)
	}
	g.share = share
}

// followOrder follows the order on standby that stands, if it is newer than the one that was followed last.
func (g *processGroup) followOrder() {
	order, err := g.process.Order()
	g.logOnce(err)
	g.mu.Lock()
	isNew := order.Supersedes(g.followed)
	if isNew {
		g.followed = order
	}
	g.mu.Unlock()
	if isNew {
		g.logOnce(g.setStandby(order.Standby))
	}
}

// publishOrder has the other processes follow an order that this one was given.
func (g *processGroup) publishOrder(standby bool) {
	g.orderMu.Lock()
	defer g.orderMu.Unlock()
	standing, err := g.process.Order() // an error is one of the file that is replaced now
	if err != nil {
		g.log.Warn("hot restart: the order that stood can't be read", "err", err)
	}
	g.mu.Lock()
	sequence := max(standing.Sequence, g.followed.Sequence) + 1
	order := hotrestart.Order{At: time.Now(), Sequence: sequence, Standby: standby}
	g.followed = order
	g.mu.Unlock()
	if err := g.process.WriteOrder(order); err != nil {
		g.log.Error("hot restart: other processes of this node will not know of the order", "standby", standby, "err", err)
	}
}

// logOnce logs an error, unless it is the one that was logged last: an error that lasts is logged once, two that take
// turns each time.
func (g *processGroup) logOnce(err error) {
	if err == nil || errors.Is(err, router.ErrClosed) || err.Error() == g.lastError {
		return
	}
	g.lastError = err.Error()
	g.log.Warn("hot restart: going on as if alone in this", "err", err)
}

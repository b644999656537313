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
	coordinateInterval     = 100 * time.Millisecond // between exchanges with the other processes of this node
	successorStateInterval = 250 * time.Millisecond // between snapshots of the learned state for the successor
	successorStateFile     = "wayhold-knowledge"
)

// connLimiter is a transport whose limit of connections can be changed.
type connLimiter interface{ SetMaxConns(n int) }

var _ connLimiter = (*http1.Transport)(nil)

// processGroup shares a node between this process, its predecessor and its successor during a hot restart. run and
// coordinate are called by one goroutine at a time, publishOrder by any.
type processGroup struct {
	process        *rundir.Process
	engine         *router.Router
	listener       *httpServer
	conns          connLimiter // nil: the transport's limit is fixed
	budget         *body.Budget
	budgetBytes    int64 // the budget of a process that is alone
	limits         hotrestart.Limits
	setMemoryShare func(share float64) // nil: the memory of the process is not limited
	setStandby     func(standby bool) error
	log            *slog.Logger

	draining atomic.Bool // this process shuts down and accepts no connections

	splitter  hotrestart.Splitter
	share     hotrestart.Share
	lastError string // logged last, so that a lasting error is logged once

	// orderMu is held while an order is written, so that the last one given is the one in the file. It is held over I/O,
	// for which coordinate does not wait.
	orderMu sync.Mutex

	mu       sync.Mutex
	followed hotrestart.Order // the last order that this process followed or gave
}

// joinProcessGroup registers this process in the node's shared directory. It logs a failure and returns nil then.
func joinProcessGroup(dir string, log *slog.Logger) *processGroup {
	process, err := rundir.Register(dir)
	if err != nil {
		log.Warn("hot restart: not registered, other processes of this node are unknown", "err", err)
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

// coordinate exchanges reports with the other processes, applies this process's share, and follows the present order
// on standby.
func (g *processGroup) coordinate() {
	others, err := g.process.Others()
	g.logOnce(err)
	own := g.report()
	g.logOnce(g.process.WriteReport(own))
	g.applyShare(g.splitter.Split(own, others, g.limits))
	if !g.draining.Load() { // a process that shuts down drains whatever the order says
		g.followOrder()
	}
}

// report returns the report of this process to the others.
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
	g.budget.SetLimit(int64(share.Memory * float64(g.budgetBytes)))
	if g.setMemoryShare != nil && share.Memory != g.share.Memory {
		g.setMemoryShare(share.Memory)
	}
	g.share = share
}

// followOrder follows the present order on standby, if it is newer than the last one followed.
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

// publishOrder writes an order that this process was given, for the other processes to follow.
func (g *processGroup) publishOrder(standby bool) {
	g.orderMu.Lock()
	defer g.orderMu.Unlock()
	previous, err := g.process.Order() // the file is replaced below, whatever is wrong with it
	if err != nil {
		g.log.Warn("hot restart: previous order is unreadable", "err", err)
	}
	g.mu.Lock()
	sequence := max(previous.Sequence, g.followed.Sequence) + 1
	order := hotrestart.Order{At: time.Now(), Sequence: sequence, Standby: standby}
	g.followed = order
	g.mu.Unlock()
	if err := g.process.WriteOrder(order); err != nil {
		g.log.Error("hot restart: order not written, other processes of this node do not follow it",
			"standby", standby, "err", err)
	}
}

// logOnce logs an error unless it equals the last one logged, so that a lasting error is logged once. Two errors that
// alternate are logged each time.
func (g *processGroup) logOnce(err error) {
	if err == nil || errors.Is(err, router.ErrClosed) || err.Error() == g.lastError {
		return
	}
	g.lastError = err.Error()
	g.log.Warn("hot restart: coordination failed, acting as a single process", "err", err)
}

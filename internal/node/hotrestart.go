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
	coordinateInterval     = 100 * time.Millisecond // interval between exchanges of reports
	successorStateInterval = 250 * time.Millisecond // interval between snapshots for the successor
	successorStateFile     = "wayhold-knowledge"
)

// connLimiter is a transport whose connection limit can be changed.
type connLimiter interface{ SetMaxConns(n int) }

var _ connLimiter = (*http1.Transport)(nil)

// processGroup shares a node between this process, its predecessor and its successor during a hot restart. Only one
// goroutine at a time may call run or coordinate. Any goroutine may call publishOrder.
type processGroup struct {
	process        *rundir.Process
	engine         *router.Router
	listener       *httpServer
	conns          connLimiter // nil: the transport's connection limit is fixed
	budget         *body.Budget
	budgetBytes    int64 // limit of budget while this is the only process of the node
	limits         hotrestart.Limits
	ids            *sharedIDs
	setMemoryShare func(share float64) // nil: the process's memory can't be limited
	setStandby     func(standby bool) error
	log            *slog.Logger

	draining atomic.Bool // whether this process shuts down and accepts no connections

	splitter  hotrestart.Splitter
	share     hotrestart.Share
	lastError string // last error logged by logOnce

	// orderMu is held while an order is written, so that the file contains the last order given. It is held during I/O.
	// coordinate does not take orderMu and never waits for that I/O.
	orderMu sync.Mutex

	mu       sync.Mutex
	followed hotrestart.Order // last order that this process has followed or given
}

// joinProcessGroup registers this process in the node's shared directory. If the registration fails, it logs the
// error and returns nil.
func joinProcessGroup(dir string, log *slog.Logger) *processGroup {
	process, err := rundir.Register(dir)
	if err != nil {
		log.Warn("hot restart: not registered, other processes of this node can't be seen", "err", err)
		return nil
	}
	return &processGroup{process: process, log: log}
}

// run calls coordinate every coordinateInterval until ctx ends.
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

// coordinate exchanges reports with the other processes and applies this process's share of the node. It also follows
// the last order to enter or leave standby.
func (g *processGroup) coordinate() {
	others, err := g.process.Others()
	g.logOnce(err)
	g.logOnce(g.ids.update(len(others) > 0, time.Now()))
	own := g.report()
	g.logOnce(g.process.WriteReport(own))
	g.applyShare(g.splitter.Split(own, others, g.limits))
	if !g.draining.Load() { // a process that shuts down drains regardless of the order
		g.followOrder()
	}
}

// close ends the coordination with other processes.
func (g *processGroup) close() {
	g.ids.close()
	g.process.Unregister()
}

// report returns this process's report for the other processes.
func (g *processGroup) report() hotrestart.Report {
	clientConns, _ := g.listener.Connections()
	return hotrestart.Report{
		At:          time.Now(),
		Accepted:    g.engine.Metrics().Accepted,
		ClientConns: clientConns,
		ServerConns: g.engine.Conns(),
		Draining:    g.draining.Load(),
	}
}

// applyShare limits this process to its share of the node's traffic, memory and connections.
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

// followOrder carries out the order in the shared directory if it supersedes the last order followed or given.
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

// publishOrder writes an order to enter or leave standby. The other processes follow the order.
func (g *processGroup) publishOrder(standby bool) {
	g.orderMu.Lock()
	defer g.orderMu.Unlock()
	previous, err := g.process.Order() // an unreadable file is replaced below, too
	if err != nil {
		g.log.Warn("hot restart: previous order is unreadable", "err", err)
	}
	g.mu.Lock()
	sequence := max(previous.Sequence, g.followed.Sequence) + 1
	order := hotrestart.Order{At: time.Now(), Sequence: sequence, Standby: standby}
	g.followed = order
	g.mu.Unlock()
	if err := g.process.WriteOrder(order); err != nil {
		g.log.Error("hot restart: order not written, other processes of this node will not follow it",
			"standby", standby, "err", err)
	}
}

// logOnce logs an error unless it equals the last error logged. A lasting error is therefore logged once, but two
// alternating errors are logged each time.
func (g *processGroup) logOnce(err error) {
	if err == nil || errors.Is(err, router.ErrClosed) || err.Error() == g.lastError {
		return
	}
	g.lastError = err.Error()
	g.log.Warn("hot restart: coordination failed, acting as a single process", "err", err)
}

package node

import (
	"context"
	"errors"
	"time"

	"cobaltward/router"
)

const (
	announceFraction = 0.6             // announcement as a share of the drain timeout or the longest deadline
	maxDrainDeadline = 3 * time.Second // maximum deadline of a class that a drain waits for
	// minAnnounce is the minimum time between the end of readiness and closing the listener, however short the
	// deadlines are. New clients keep coming until they are sent elsewhere, and a closed listener would reset their
	// connections.
	minAnnounce = 420 * time.Millisecond
	// drainMargin is the usual maximum duration of a drain beyond the longest deadline.
	drainMargin        = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond // timeout for writing the last answers after a drain
	// killDelay is the minimum time from the longest deadline to the SIGKILL of the platform. The deadline counts from
	// SIGTERM.
	killDelay = 700 * time.Millisecond
	// serveMargin is the minimum time between the end of the drain and SIGKILL. Requests that are still open when the
	// drain ends are answered within serveMargin.
	serveMargin = 100 * time.Millisecond
	// closeMargin is the minimum time between closing the last connections and SIGKILL.
	closeMargin = 50 * time.Millisecond
	// firstRequestPollInterval is the interval between checks for connections that still wait for their first response.
	firstRequestPollInterval = 10 * time.Millisecond
)

// shutdown drains the node and closes the server for HTTP clients. With a shared listening socket, shutdown first
// leaves new clients to another process.
func (n *node) shutdown() error {
	n.log.Info("stopping")
	current := n.current.Load()
	announceFor, leaveFor := current.announceDuration(), time.Duration(0)
	if n.config.SharedListener {
		n.handOver()
		announceFor, leaveFor = 0, announceFor
	}
	return n.drain(current.shutdownTimes(), announceFor, leaveFor)
}

// handOver stops accepting. The other process at the shared socket then gets all new clients. During the drain, each
// connection of this process is closed after its next answer.
func (n *node) handOver() {
	n.handedOver.Store(n.engine.Phase() == router.Serving)
	n.state.savingHandedOver.Store(true)
	if n.processGroup != nil {
		n.processGroup.draining.Store(true)
	}
	n.httpServer.CloseListener(context.Background()) // does not wait for the accept queue of a shared socket
}

// drain drains the node and closes its clients' connections within the given times. During announceFor the node is
// not ready but serves as before, because clients may not know another node yet. During leaveFor the node closes each
// connection after its next answer, but still accepts new connections. Both phases end early enough for the last
// accepted requests to be answered.
func (n *node) drain(times shutdownTimes, announceFor, leaveFor time.Duration) error {
	began := time.Now()
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), began.Add(times.maxDrain))
	defer cancelDrain()
	n.tasks.Go(func() {
		if sleep(drainCtx, times.drain) {
			n.httpServer.awaitListenerClose(drainCtx) // the end of the drain would reset connections in the accept queue
			n.awaitFirstRequests(drainCtx)
			cancelDrain()
		}
	})
	if err := n.engine.DrainAfter(drainCtx, announceFor, leaveFor); err != nil && !isContextError(err) {
		return err
	}
	return n.closeClients(began.Add(times.close))
}

// closeClients closes the HTTP server once all servers for clients have written their final answers. Connections
// whose first request may be in transit, or whose long answer is still arriving from its server, stay open until the
// deadline. The engine rejects new requests.
func (n *node) closeClients(deadline time.Time) error {
	deadlineCtx, cancelWait := context.WithDeadline(context.Background(), deadline)
	defer cancelWait()
	n.awaitFirstRequests(deadlineCtx)
	err := n.httpServer.Shutdown(deadlineCtx)
	if n.rpcServer != nil {
		n.rpcServer.awaitAnswers(deadlineCtx)
	}
	if err != nil && !isContextError(err) {
		return err
	}
	return n.httpServer.Close()
}

// awaitFirstRequests waits for the first response on each connection that was accepted before the drain, or until ctx
// ends. It does not wait for connections that have been open too long without a request.
func (n *node) awaitFirstRequests(ctx context.Context) {
	for n.pendingFirstRequests() > 0 && sleep(ctx, firstRequestPollInterval) {
	}
}

func (n *node) pendingFirstRequests() int {
	pending := n.httpServer.PendingFirstRequests()
	if n.rpcServer != nil {
		pending += n.rpcServer.PendingFirstRequests()
	}
	return pending
}

// sleep waits for duration or until ctx ends, and reports whether the whole duration has passed.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isContextError reports whether an error is due to the end of a context.
func isContextError(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// announceDuration returns the time for which a node that shuts down is not ready but still serves as before.
func (c Config) announceDuration() time.Duration {
	if c.AnnounceFor != nil {
		return *c.AnnounceFor
	}
	if c.DrainTimeout != nil {
		return time.Duration(announceFraction * float64(*c.DrainTimeout))
	}
	return max(minAnnounce, time.Duration(announceFraction*float64(c.longestDeadline())))
}

// shutdownTimes are time limits that count from the beginning of a shutdown.
type shutdownTimes struct {
	// drain limits the drain. The drain may last longer only while the accept queue is not empty, or while accepted
	// connections wait for their first response.
	drain    time.Duration
	maxDrain time.Duration // limit of the drain in all cases
	close    time.Duration // time limit for closing the last connection
}

// shutdownTimes returns the time limits for a node that shuts down. If DrainTimeout is set, it limits the drain in
// all cases, because the time of SIGKILL is unknown then.
func (c Config) shutdownTimes() shutdownTimes {
	if c.DrainTimeout != nil {
		timeout := *c.DrainTimeout
		return shutdownTimes{drain: timeout, maxDrain: timeout, close: timeout + finalAnswerTimeout}
	}
	longest := c.longestDeadline()
	kill := longest + killDelay
	return shutdownTimes{
		drain:    max(longest+drainMargin, minAnnounce+min(longest, finalAnswerTimeout)),
		maxDrain: kill - serveMargin,
		close:    kill - closeMargin,
	}
}

// longestDeadline returns the longest deadline of any class, but at most maxDrainDeadline.
func (c Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainDeadline)
}

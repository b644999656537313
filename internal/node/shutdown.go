package node

import (
	"context"
	"errors"
	"time"

	"cobaltward/router"
)

const (
	announceFraction = 0.6             // of the longest deadline, during which the node serves on as before
	maxDrainDeadline = 3 * time.Second // a shutdown waits for no longer deadline
	// minAnnounce is the minimum time between the end of readiness and the close of the listener, however short the
	// deadlines are: until clients are sent elsewhere, a closed listener would reset the connections of those that come.
	minAnnounce = 420 * time.Millisecond
	// drainMargin is how much longer than the longest deadline a drain may take.
	drainMargin        = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond // for the answers to requests that the end of a drain fails
	// killDelay is how long after SIGTERM and the longest deadline the platform sends SIGKILL, at the earliest.
	killDelay = 700 * time.Millisecond
	// serveMargin is how long before SIGKILL the drain ends at the latest, which answers the requests that are open.
	serveMargin = 100 * time.Millisecond
	// closeMargin is how long before SIGKILL the last connections are closed.
	closeMargin = 50 * time.Millisecond
	// firstRequestPollInterval is how often a shutdown looks whether first requests are still to come.
	firstRequestPollInterval = 10 * time.Millisecond
)

// shutdown drains the node and closes the server for HTTP clients. With a shared listening socket the node is
// handed over to another process first.
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

// handOver leaves new clients to the other process at the shared socket. Connections of this process are closed with
// their answers.
func (n *node) handOver() {
	n.handedOver.Store(n.engine.Phase() == router.Serving)
	n.state.paused.Store(true)
	if n.processGroup != nil {
		n.processGroup.draining.Store(true)
	}
	n.httpServer.CloseListener(context.Background()) // the socket is shared: nothing is waited for
}

// drain ends the service within the times. For announceFor the node only stops being ready and serves as before, since
// clients may have no other node yet; for leaveFor it then closes each connection with its answer while it still
// accepts others, early enough for the last accepted requests to be answered.
func (n *node) drain(times shutdownTimes, announceFor, leaveFor time.Duration) error {
	began := time.Now()
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), began.Add(times.maxDrain))
	defer cancelDrain()
	n.tasks.Go(func() {
		if sleep(drainCtx, times.drain) {
			n.httpServer.awaitListenerClose(drainCtx) // the end of the drain would reset its accept queue
			n.awaitFirstRequests(drainCtx)
			cancelDrain()
		}
	})
	if err := n.engine.DrainAfter(drainCtx, announceFor, leaveFor); err != nil && !isContextError(err) {
		return err
	}
	return n.closeClients(began.Add(times.close))
}

// closeClients closes the servers for clients, once the final answers are written. Connections whose first request may
// be on its way stay open until the deadline: the engine rejects it.
func (n *node) closeClients(deadline time.Time) error {
	deadlineCtx, cancelWait := context.WithDeadline(context.Background(), deadline)
	defer cancelWait()
	n.awaitFirstRequests(deadlineCtx)
	closeCtx, cancelClose := context.WithTimeout(deadlineCtx, finalAnswerTimeout)
	defer cancelClose()
	err := n.httpServer.Shutdown(closeCtx)
	if n.rpcServer != nil {
		n.rpcServer.awaitAnswers(closeCtx)
	}
	if err != nil && !isContextError(err) {
		return err
	}
	return n.httpServer.Close()
}

// awaitFirstRequests waits until each connection that was accepted before the drain has had a response, or is idle for
// too long for a first request to come, or ctx ends.
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

// sleep waits, and reports whether the time has passed before ctx ended.
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

// isContextError reports whether an error says that a context has ended.
func isContextError(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// announceDuration returns for how long a node that shuts down serves on as before while it is not ready.
func (c Config) announceDuration() time.Duration {
	if c.AnnounceFor != nil {
		return *c.AnnounceFor
	}
	if c.DrainTimeout != nil {
		return time.Duration(announceFraction * float64(*c.DrainTimeout))
	}
	return max(minAnnounce, time.Duration(announceFraction*float64(c.longestDeadline())))
}

// shutdownTimes are bounds of the phases of a shutdown, from its beginning.
type shutdownTimes struct {
	// drain bounds the drain, unless the accept queue is not empty, or first requests of accepted connections are to
	// come or to be answered.
	drain    time.Duration
	maxDrain time.Duration // the drain in any case
	close    time.Duration // the close of the last connection
}

// shutdownTimes returns the bounds for a node that shuts down. Where the operator sets the time of the drain, it holds
// for all of it: when the process is killed is not known then.
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

// longestDeadline returns the longest deadline of a class, at most maxDrainDeadline.
func (c Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainDeadline)
}

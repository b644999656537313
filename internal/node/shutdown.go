package node

import (
	"context"
	"errors"
	"time"

	"cobaltward/router"
)

const (
	announceFraction = 0.6             // part of the longest deadline for which the node keeps serving as before
	maxDrainDeadline = 3 * time.Second // longer deadlines of classes are not waited for
	// minAnnounce is the minimum time between the end of readiness and the close of the listener, however short the
	// deadlines are: new clients keep coming until they are sent elsewhere, and a closed listener would reset their
	// connections.
	minAnnounce = 420 * time.Millisecond
	// drainMargin is how much longer than the longest deadline a drain may usually take.
	drainMargin        = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond // for writing the answers to requests that fail at the end of a drain
	// killDelay is how much later than the longest deadline after SIGTERM the platform sends SIGKILL, at the earliest.
	killDelay = 700 * time.Millisecond
	// serveMargin is how long before SIGKILL the drain ends at the latest. Its end answers the open requests.
	serveMargin = 100 * time.Millisecond
	// closeMargin is how long before SIGKILL the last connections are closed at the latest.
	closeMargin = 50 * time.Millisecond
	// firstRequestPollInterval is the time between checks whether connections still wait for their first response.
	firstRequestPollInterval = 10 * time.Millisecond
)

// shutdown drains the node and closes the server for HTTP clients. With a shared listening socket it first leaves new
// clients to another process.
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

// handOver stops accepting, so that the other process at the shared socket gets all new clients. The drain closes the
// connections of this process with their answers.
func (n *node) handOver() {
	n.handedOver.Store(n.engine.Phase() == router.Serving)
	n.state.savingHandedOver.Store(true)
	if n.processGroup != nil {
		n.processGroup.draining.Store(true)
	}
	n.httpServer.CloseListener(context.Background()) // does not wait for the accept queue, since the socket is shared
}

// drain drains the node and closes its clients' connections within the given times. For announceFor the node is not
// ready but serves as before, since clients may not know another node yet. For leaveFor it then closes each connection
// with its answer but still accepts others, early enough for the last accepted requests to be answered.
func (n *node) drain(times shutdownTimes, announceFor, leaveFor time.Duration) error {
	began := time.Now()
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), began.Add(times.maxDrain))
	defer cancelDrain()
	n.tasks.Go(func() {
		if sleep(drainCtx, times.drain) {
			n.httpServer.awaitListenerClose(drainCtx) // the end of the drain would reset connections in its accept queue
			n.awaitFirstRequests(drainCtx)
			cancelDrain()
		}
	})
	if err := n.engine.DrainAfter(drainCtx, announceFor, leaveFor); err != nil && !isContextError(err) {
		return err
	}
	return n.closeClients(began.Add(times.close))
}

// closeClients closes the HTTP server once the final answers of all servers for clients are written. Connections whose
// first request may be on its way stay open until the deadline; the engine rejects these requests.
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

// awaitFirstRequests waits until each connection that was accepted before the drain has had a response, or has been
// open for too long without a request, or ctx ends.
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

// announceDuration returns how long a node that shuts down is not ready but keeps serving as before.
func (c Config) announceDuration() time.Duration {
	if c.AnnounceFor != nil {
		return *c.AnnounceFor
	}
	if c.DrainTimeout != nil {
		return time.Duration(announceFraction * float64(*c.DrainTimeout))
	}
	return max(minAnnounce, time.Duration(announceFraction*float64(c.longestDeadline())))
}

// shutdownTimes are time limits, all counted from the beginning of a shutdown.
type shutdownTimes struct {
	// drain limits the drain, which may last longer only while the accept queue is not empty, or accepted connections
	// wait for their first response.
	drain    time.Duration
	maxDrain time.Duration // limits the drain in any case
	close    time.Duration // by when the last connection is closed
}

// shutdownTimes returns the time limits for a node that shuts down. If the operator sets DrainTimeout, it limits the
// drain in any case, since the time of SIGKILL is not known then.
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

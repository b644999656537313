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
	// drainMargin is how much longer than the longest deadline a drain may take. The platform sends SIGKILL 0.7 s
	// after that deadline.
	drainMargin        = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond // for the answers to requests that the end of a drain fails
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
	return n.drain(current.drainTimeout(), announceFor, leaveFor)
}

// handOver leaves new clients to the other process at the shared socket. Connections of this process are closed with
// their answers.
func (n *node) handOver() {
	n.handedOver.Store(n.engine.Phase() == router.Serving)
	n.state.paused.Store(true)
	if n.processGroup != nil {
		n.processGroup.draining.Store(true)
	}
	n.httpServer.CloseListener()
}

// drain ends the service within a time. For announceFor the node only stops being ready and serves as before, since
// clients may have no other node yet; for leaveFor it then closes each connection with its answer while it still
// accepts others, early enough for the last accepted requests to be answered.
func (n *node) drain(timeout, announceFor, leaveFor time.Duration) error {
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), timeout)
	defer cancelDrain()
	err := n.engine.DrainAfter(drainCtx, announceFor, leaveFor)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancelClose()
	err = n.httpServer.Shutdown(closeCtx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return n.httpServer.Close()
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

// drainTimeout returns the bound of the drain of a node that shuts down.
func (c Config) drainTimeout() time.Duration {
	if c.DrainTimeout != nil {
		return *c.DrainTimeout
	}
	longest := c.longestDeadline()
	return max(longest+drainMargin, minAnnounce+min(longest, finalAnswerTimeout))
}

// longestDeadline returns the longest deadline of a class, at most maxDrainDeadline.
func (c Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainDeadline)
}

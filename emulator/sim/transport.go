package sim

import (
	"slices"
	"time"

	"cobaltward/emulator/script"
	"cobaltward/policy"
	"cobaltward/router"
)

// conn is a connection of a node to a server process.
type conn struct {
	process   *process
	idleSince time.Duration
	broken    bool // true once a fault has broken the connection; the node closes the connection at its next use
}

// idleEntry is a connection with the start of its idle time.
type idleEntry struct {
	conn  *conn
	since time.Duration
}

// Launch starts an attempt like the HTTP/1.1 transport. It uses an idle connection, or opens a new connection if the
// limit allows. Launch implements the engine's transport.
func (n *node) Launch(engineAttempt router.Attempt) {
	launched := n.newAttempt(engineAttempt)
	n.inFlight[engineAttempt] = launched
	if launched.request != nil {
		launched.request.serverAttempts++
		launched.work = launched.request.work
	}
	if launched.server == nil {
		n.sim.after(0, func() { launched.finish(policy.ConnectFailed) })
		return
	}
	if launched.server.state != policy.Running {
		launched.addDiscoveryFaults()
	}
	launched.delay = n.sim.delay(n.sim.networkDelay(n.spec.Zone, launched.server.spec.Zone), "way", launched.id)
	if launched.conn = n.takeIdle(launched.server.id); launched.conn != nil {
		launched.send()
		return
	}
	if n.connCount >= n.sim.plan.Script.Nodes.MaxConns && !n.evict() {
		n.sim.after(0, func() { launched.finish(policy.Superseded) })
		return
	}
	n.connCount++
	launched.countsConn = true
	launched.connect()
}

// takeIdle removes and returns the most recently used idle connection to a server; nil if there is none. It closes
// unusable connections that it finds on the way.
func (n *node) takeIdle(server string) *conn {
	maxIdle := n.sim.plan.Script.Capabilities.ConnIdle / 2
	idle := n.idle[server]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		if n.sim.now-c.idleSince < maxIdle && !c.process.ended && !c.broken {
			n.idle[server] = idle
			return c
		}
		n.connCount--
		c.close(nil)
	}
	n.idle[server] = idle
	return nil
}

// evict closes the connection that has been idle for the longest time. It returns false if no connection is idle.
func (n *node) evict() bool {
	for len(n.idleOrder) > 0 {
		entry := n.idleOrder[0]
		n.idleOrder = n.idleOrder[1:]
		server := entry.conn.process.server.id
		idle := n.idle[server]
		if i := slices.Index(idle, entry.conn); i >= 0 && entry.conn.idleSince == entry.since {
			n.idle[server] = slices.Delete(idle, i, i+1)
			entry.conn.close(nil)
			n.connCount--
			return true
		}
	}
	return false
}

// addIdle adds a connection to the idle pool.
func (n *node) addIdle(c *conn) {
	c.idleSince = n.sim.now
	server := c.process.server.id
	n.idle[server] = append(n.idle[server], c)
	if len(n.idleOrder) > 8*n.sim.plan.Script.Nodes.MaxConns { // most entries are stale at this length
		n.idleOrder = slices.DeleteFunc(n.idleOrder, func(e idleEntry) bool { return e.conn.idleSince != e.since })
	}
	n.idleOrder = append(n.idleOrder, idleEntry{c, c.idleSince})
}

// Cancel ends an attempt by closing the attempt's connection. It implements the engine's transport.
func (n *node) Cancel(engineAttempt router.Attempt) {
	a := n.inFlight[engineAttempt]
	if a == nil {
		return
	}
	code := policy.TimedOut
	switch {
	case !engineAttempt.Expired():
		code = policy.Cancelled
	case !a.sent:
		code = policy.ConnectFailed
	}
	a.cancelled = true
	n.sim.after(0, func() { a.finish(code) })
}

// CloseIdle closes the idle connections to a server. It implements the engine's transport.
func (n *node) CloseIdle(id string) {
	for _, c := range n.idle[id] {
		n.connCount--
		c.close(nil)
	}
	delete(n.idle, id)
}

// close closes a connection from the node's side and cancels the attempt a, which uses the connection. a is nil if
// the connection is idle. The server notices after the network delay. On a nil connection, close does nothing.
func (c *conn) close(a *attempt) {
	if c == nil {
		return
	}
	sim := c.process.server.sim
	delay := sim.plan.Script.Network.SameZoneDelay
	if a != nil {
		delay = a.delay
	}
	sim.after(delay, func() {
		if a != nil {
			c.process.cancel(a)
		} else if !c.process.ended {
			c.process.disconnect()
		}
	})
}

// endsServerProcess reports whether a kind of fault ends a server's process.
func endsServerProcess(kind string) bool {
	return kind == script.FaultCrash || kind == script.FaultReplaced || kind == script.FaultDrain
}

// affectsEndpointList reports whether a kind of fault makes the nodes' endpoint lists wrong or outdated.
func affectsEndpointList(kind string) bool {
	return kind == script.FaultDiscoveryDown || kind == script.FaultListLate || kind == script.FaultListWrong
}

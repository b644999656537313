package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
)

// Names of the classes in the settings of every run.
const (
	searchClass  = "hladanie"
	bookingClass = "rezervacia"
	cancelClass  = "zrusenie"
)

const (
	// firstRequestGrace is the time that a node that is shutting down waits for the first request on a connection.
	firstRequestGrace = 2500 * time.Millisecond
	// newConnTimeout is the time that a node that is not shutting down waits for the first request on a connection.
	newConnTimeout = 15 * time.Second
)

// client sends one request after another. It uses a connection until the connection is closed. It opens new
// connections while clients are routed to the node.
type client struct {
	name            string
	addr            string
	rng             *rand.Rand
	connectRNG      *rand.Rand // for pauses after a connect; separate, so that the pauses do not affect rng
	history         *history
	longestDeadline time.Duration // longest deadline of the client's requests
	clientsRouted   *atomic.Bool  // true while clients may open connections to the node
	stopping        *atomic.Bool  // true once the test terminates the node
	nodeExited      *atomic.Bool  // true once the node's process has exited
	abandonRate     float64       // fraction of requests whose response the client does not wait for
	descriptorsFull bool          // true if idle connections fill the node's descriptors
	longestPause    time.Duration // maximum pause after a connect or a response; 0: none
	rest            time.Duration // time between the first connect and the first request
	rested          bool          // true once the rest before the first request is over
	restedConn      net.Conn      // connection that was idle during the rest; nil before the end of the rest
}

// run sends requests until the node has exited or clients are no longer routed to it.
func (c *client) run() {
	for n := 0; !c.nodeExited.Load() && c.clientsRouted.Load(); {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if c.restBeforeFirstRequest(conn) {
			_ = conn.Close()
			continue
		}
		if c.longestPause > 0 && c.connectRNG.IntN(2) == 0 {
			time.Sleep(time.Duration(c.connectRNG.Int64N(int64(c.longestPause))))
		}
		for used := 0; c.exchange(conn, used, &n); used++ {
			if c.longestPause > 0 {
				time.Sleep(time.Duration(c.rng.Int64N(int64(c.longestPause))))
			}
		}
		_ = conn.Close()
	}
}

// restBeforeFirstRequest keeps the first connection idle for c.rest, and reports whether the node closed the
// connection in that time. It returns at once for later connections and if c.rest is 0.
func (c *client) restBeforeFirstRequest(conn net.Conn) (closed bool) {
	if c.rest == 0 || c.rested {
		return false
	}
	time.Sleep(c.rest)
	c.rested = true
	c.restedConn = conn
	if !sockets.PeerClosed(conn.(*net.TCPConn)) {
		return false
	}
	c.history.recordClosedBeforeFirstRequest(c.stopping.Load() || c.descriptorsFull || c.rest >= newConnTimeout, c.rest)
	return true
}

// mayBeClosedUnread reports whether the node was allowed to close conn without reading a request that arrived at the
// same time. used is the number of earlier requests on conn, and cause is the client's read error. The node may close
// a reused connection. It may also close a connection that rested before its first request for longer than the node
// has to wait. The node must close a rested connection with a FIN, which the client sees as an unexpected EOF.
func (c *client) mayBeClosedUnread(conn net.Conn, used int, cause error) bool {
	restedLong := c.restedConn == conn && c.rest >= firstRequestGrace
	mayEnd := c.stopping.Load() || c.rest >= newConnTimeout
	return used > 0 || restedLong && mayEnd && errors.Is(cause, io.ErrUnexpectedEOF)
}

// exchange sends one request and reads its response. It returns false if the connection cannot be used any more. used
// is the number of earlier requests on conn, and n counts the requests of the client.
func (c *client) exchange(conn net.Conn, used int, n *int) bool {
	if c.nodeExited.Load() {
		return false
	}
	*n++
	id := fmt.Sprintf("%s-%d", c.name, *n)
	class := []string{searchClass, bookingClass, cancelClass}[c.rng.IntN(3)]
	deadline := c.longestDeadline/3 + time.Duration(c.rng.Int64N(int64(c.longestDeadline*2/3)))
	text := requestText(id, class, deadline)
	cut := c.rng.IntN(len(text))
	if _, err := io.WriteString(conn, text[:cut]); err != nil {
		return false // the node closed the connection before it had the complete request
	}
	if c.rng.IntN(10) == 0 {
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
	c.history.recordRequest(id, class, deadline)
	if _, err := io.WriteString(conn, text[cut:]); err != nil { // the node closed the connection before the last byte
		c.history.count("requests not sent completely")
		return false
	}
	if c.rng.Float64() < c.abandonRate {
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
		c.history.recordClose(id)
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(deadline + responseSlack))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer func() { _ = response.Body.Close() }()                 // the body has been read to its end or to an error
		if _, err = io.Copy(io.Discard, response.Body); err != nil { // the client sees that the response is incomplete
			c.history.count("responses incomplete")
			return false
		}
	}
	if err != nil {
		c.history.recordNoResponse(id, c.mayBeClosedUnread(conn, used, err), c.descriptorsFull, err)
		return false
	}
	unread, _ := sockets.SinceLastReceived(conn.(*net.TCPConn)) // 0 if the kernel does not report the time
	c.history.recordResponse(id, response.StatusCode, unread)
	return !response.Close
}

func requestText(id, class string, deadline time.Duration) string {
	method, extra := "POST", ""
	switch class {
	case searchClass:
		method = "GET"
	case bookingClass:
		extra = "Content-Length: 5\r\n"
	case cancelClass:
		extra = "Content-Length: 5\r\nIdempotency-Key: k-" + id + "\r\n"
	}
	const format = "%s /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\n" +
		"X-Deadline-Ms: %d\r\n%s\r\n"
	text := fmt.Sprintf(format, method, id, class, deadline.Milliseconds(), extra)
	if strings.HasPrefix(extra, "Content-Length") {
		text += "hello"
	}
	return text
}

// openIdleConns opens count connections to addr, or fewer if a dial fails. It sends the beginning of a request on
// every third connection. The connections stay open until closeAll is called.
func openIdleConns(addr string, count int) (closeAll func()) {
	var conns []net.Conn
	for i := range count {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		if i%3 == 0 {
			_, _ = io.WriteString(conn, "GET /api HT")
		}
		conns = append(conns, conn)
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

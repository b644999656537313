package racetest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// discoveryStub is a discovery service whose calls a test can intercept.
type discoveryStub struct {
	addr  string
	calls chan pollCall // received calls; further calls are dropped while the channel is full

	mu        sync.Mutex
	received  int
	revision  int64
	entries   []string
	changed   chan struct{} // closed and replaced when the list changes
	intercept func(pollCall, net.Conn) (handled bool)
}

// pollCall is one call to discovery for the endpoint list.
type pollCall struct {
	seq           int    // number of earlier calls
	sinceRevision string // revision of the caller's list; empty if the caller requests the complete list
	wait          time.Duration
	at            time.Time
}

// newDiscoveryStub runs a discovery service with an empty list until the test ends.
func newDiscoveryStub(t *testing.T) *discoveryStub {
	stub := &discoveryStub{revision: 1, changed: make(chan struct{}), calls: make(chan pollCall, 1024)}
	stub.addr = testkit.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil || !stub.serveCall(req, conn) {
				return
			}
		}
	})
	return stub
}

// serveCall records a call and answers the call, unless the test intercepts it. It returns false to close the
// connection.
func (d *discoveryStub) serveCall(req *http.Request, conn net.Conn) bool {
	query := req.URL.Query()
	waitMs, _ := strconv.Atoi(query.Get("wait")) // a call without this parameter does not wait
	d.mu.Lock()
	call := pollCall{d.received, query.Get("index"), time.Duration(waitMs) * time.Millisecond, time.Now()}
	d.received++
	intercept := d.intercept
	d.mu.Unlock()
	select {
	case d.calls <- call:
	default:
	}
	if intercept != nil && intercept(call, conn) {
		return true
	}
	return d.answer(call, conn)
}

// answer waits until the revision of the list differs from the caller's, and then sends the complete list. If
// call.wait is over before, it sends an empty change. It returns false to close the connection.
func (d *discoveryStub) answer(call pollCall, conn net.Conn) bool {
	timeout := time.NewTimer(call.wait)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		revision, text, changed := d.revision, d.textLocked(), d.changed
		d.mu.Unlock()
		if call.sinceRevision == "" || call.sinceRevision != strconv.FormatInt(revision, 10) {
			return writeJSON(conn, text)
		}
		closed, stopWatching := watchClose(conn)
		select {
		case <-changed:
			stopWatching()
		case <-timeout.C:
			stopWatching()
			return writeJSON(conn, fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision))
		case <-closed:
			return false
		}
	}
}

// watchClose returns a channel that is closed when the peer closes the connection, and a function that ends the
// watch. The connection carries one call at a time, so no data can arrive during the watch.
func watchClose(conn net.Conn) (closed <-chan struct{}, stop func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Read(make([]byte, 1))
	}()
	return done, func() {
		_ = conn.SetReadDeadline(time.Now())
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

func (d *discoveryStub) textLocked() string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.revision, strings.Join(d.entries, ","))
}

// listText returns the current list as the body of a complete answer.
func (d *discoveryStub) listText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.textLocked()
}

// adoptInitialList copies the node's initial list to the stub, unless the stub has entries or another revision.
// Without the copy, a node that requests the complete list, for example after SIGHUP, would lose its servers.
func (d *discoveryStub) adoptInitialList(list registry.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.entries) > 0 || d.revision != list.Revision {
		return
	}
	for _, e := range list.Endpoints {
		d.entries = append(d.entries, formatEntry(e, "up"))
	}
}

// publish replaces the list and increments its revision.
func (d *discoveryStub) publish(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// restartRevisions resets the revision to 1, as a discovery service does after it lost its state.
func (d *discoveryStub) restartRevisions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
}

// setIntercept sets a function that may handle calls in place of the stub. nil removes the function.
func (d *discoveryStub) setIntercept(intercept func(pollCall, net.Conn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intercept = intercept
}

// writeJSON sends a 200 response with the text as its body, and reports whether the write succeeded.
func writeJSON(conn net.Conn, text string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// listEntry returns the JSON entry of a server in the endpoint list. The server has the given ID, address and phase,
// and is in zone a and cell 1.
func listEntry(id, addr, phase string) string { return formatEntry(endpoint(id, addr), phase) }

func formatEntry(e router.Endpoint, phase string) string {
	const format = `{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%s,"phase":%q,"size":1,"up_since_ms":0}`
	return fmt.Sprintf(format, e.ID, e.Addr, e.Zone, e.Kind, e.Cell, phase)
}

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

// discoveryStub is a discovery service whose calls a test may intercept.
type discoveryStub struct {
	addr  string
	calls chan pollCall // calls beyond its capacity that no test receives are dropped

	mu        sync.Mutex
	received  int
	revision  int64
	entries   []string
	changed   chan struct{} // closed at the next change
	intercept func(pollCall, net.Conn) (handled bool)
}

// pollCall is one call for the endpoint list.
type pollCall struct {
	seq   int    // from 0
	index string // the revision that the caller has; empty: the complete list is wanted
	wait  time.Duration
	at    time.Time
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

// serveCall records a call and answers it, unless a test intercepts it. False ends the connection.
func (d *discoveryStub) serveCall(req *http.Request, conn net.Conn) bool {
	query := req.URL.Query()
	waitMs, _ := strconv.Atoi(query.Get("wait")) // a call without it does not wait
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

// answer sends the complete list once it is newer than the revision that the call names, or an empty change after the
// call's wait. False ends the connection.
func (d *discoveryStub) answer(call pollCall, conn net.Conn) bool {
	timeout := time.NewTimer(call.wait)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		revision, text, changed := d.revision, d.textLocked(), d.changed
		d.mu.Unlock()
		if call.index == "" || call.index != strconv.FormatInt(revision, 10) {
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

// watchClose closes a channel when the connection ends; stop ends the watch. The connection carries one call at a
// time, so all that can be read of it is its end.
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

// listText is the complete list as it is now.
func (d *discoveryStub) listText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.textLocked()
}

// adoptInitialList makes the list that the node starts with the stub's, unless the test has published one: a node
// that asks for the complete list, as after SIGHUP, must not find its servers gone.
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

// publish makes this the list, under the next revision.
func (d *discoveryStub) publish(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// restartRevisions has revisions begin again at 1.
func (d *discoveryStub) restartRevisions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
}

// setIntercept gives a test the calls that follow; nil ends that.
func (d *discoveryStub) setIntercept(intercept func(pollCall, net.Conn) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intercept = intercept
}

// writeJSON answers 200 with text, and tells whether that was written.
func writeJSON(conn net.Conn, text string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	return err == nil
}

// listEntry is the list's entry of a server in zone a and cell 1.
func listEntry(id, addr, phase string) string { return formatEntry(endpoint(id, addr), phase) }

func formatEntry(e router.Endpoint, phase string) string {
	const format = `{"id":%q,"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"phase":%q,"size":1,"up_since_ms":0}`
	return fmt.Sprintf(format, e.ID, e.Addr, e.Zone, e.Kind, e.Cell, phase)
}

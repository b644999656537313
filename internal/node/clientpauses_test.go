package node

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// TestBodyReads_ReadDeadline checks that pauses of the node extend the deadline of a read by the duration of the
// pauses. If the node ran for at least half of the time, the extension is at most maxPauseCredit.
func TestBodyReads_ReadDeadline(t *testing.T) {
	const timeout = 2500 * ms
	began := time.Now()
	for _, test := range []struct {
		elapsed, paused, wholeBody, want time.Duration
	}{
		{0, 0, time.Minute, timeout},
		{timeout, 0, time.Minute, timeout},
		{timeout, 100 * ms, time.Minute, timeout + 100*ms},
		{timeout, 600 * ms, time.Minute, timeout + maxPauseCredit},
		{timeout, timeout / 2, time.Minute, timeout + maxPauseCredit},
		{timeout, 2000 * ms, time.Minute, timeout + 2000*ms},
		{time.Minute, 59 * time.Second, 2 * time.Minute, timeout + 59*time.Second},
		{timeout, 100 * ms, timeout / 2, timeout/2 + 100*ms}, // the deadline of the whole body is earlier
	} {
		limits := bodyReadLimits{timeout: timeout, deadline: began.Add(test.wholeBody)}
		stall := clientTimeout{began: began, pausedBefore: time.Hour, timeout: timeout}
		body := bodyReads{bodyReadLimits: limits, pausedBefore: time.Hour, stallTimeout: stall}
		got := body.readDeadline(began.Add(test.elapsed), time.Hour+test.paused)
		if got := got.Sub(began); got != test.want {
			t.Errorf("%+v: deadline after %v", test, got)
		}
	}
}

// fakePauses is the pauseCounter of a node that is paused for a fixed share of the time. It counts only between Begin
// and End.
type fakePauses struct {
	share float64

	mu    sync.Mutex
	uses  int
	began time.Time // time at which uses last rose from 0
	used  time.Duration
}

// Begin implements pauseCounter.
func (p *fakePauses) Begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uses == 0 {
		p.began = time.Now()
	}
	p.uses++
}

// End implements pauseCounter.
func (p *fakePauses) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses--
	if p.uses == 0 {
		p.used += time.Since(p.began)
	}
}

// Paused implements pauseCounter.
func (p *fakePauses) Paused() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used
	if p.uses > 0 {
		used += time.Since(p.began)
	}
	return time.Duration(p.share * float64(used))
}

// requireUnused checks that every Begin had its End.
func (p *fakePauses) requireUnused(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uses != 0 {
		t.Errorf("%d calls of Begin without an End", p.uses)
	}
}

// stallingConn calls stall in the middle of each write.
type stallingConn struct {
	net.Conn
	stall func()
}

// Write implements net.Conn.
func (c *stallingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	c.stall()
	rest, err := c.Conn.Write(p[len(p)/2:])
	return n + rest, err
}

// TestRead_NodePaused checks that a stalled client is still read if the node was paused most of the time. The client
// stalls within a head, a body or a TLS record for longer than the timeout. If the node is not paused, the read must
// fail.
func TestRead_NodePaused(t *testing.T) {
	const mostOfTheTime = 0.99
	for _, test := range []struct {
		name        string
		listen      func(t *testing.T, maxConns int) *clientListener
		open        func(client net.Conn) net.Conn
		withinBody  bool
		pausedShare float64 // share of the time for which the node is paused
	}{
		{"head", newTestListener, plainClient, false, mostOfTheTime},
		{"head, TLS", newTLSTestListener, tlsClient, false, mostOfTheTime},
		{"head, node runs", newTestListener, plainClient, false, 0},
		{"head, TLS, node runs", newTLSTestListener, tlsClient, false, 0},
		{"body", newTestListener, plainClient, true, mostOfTheTime},
		{"body, TLS", newTLSTestListener, tlsClient, true, mostOfTheTime},
		{"body, node runs", newTestListener, plainClient, true, 0},
		{"body, TLS, node runs", newTLSTestListener, tlsClient, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := test.listen(t, 4)
			pauses := &fakePauses{share: test.pausedShare}
			listener.pauses = pauses
			client, conn := connectClient(t, listener)
			stalling := &stallingConn{client, func() {}}
			err := readFromStallingClient(t, listener, conn, stalling, test.open(stalling), test.withinBody)
			if wantErr := test.pausedShare == 0; (err != nil) != wantErr {
				t.Errorf("read error: %v", err)
			}
			_ = conn.Close()
			pauses.requireUnused(t)
		})
	}
}

// readFromStallingClient reads a request whose client stalls within its head or body for longer than the timeout. The
// client's connection splits a write and sleeps between the halves.
func readFromStallingClient(
	t *testing.T, listener *clientListener, conn net.Conn, stalling *stallingConn, client net.Conn, withinBody bool,
) error {
	t.Helper()
	const timeout, stall = 50 * ms, 500 * ms
	const bodySize = 1000
	listener.headTimeout = timeout
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodySize)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if secured, ok := client.(*tls.Conn); ok {
			_ = secured.Handshake()
		}
		if withinBody {
			_, _ = io.WriteString(client, head)
		}
		stalling.stall = func() { time.Sleep(stall) }
		if !withinBody {
			_, _ = io.WriteString(client, head)
		}
		_, _ = client.Write(make([]byte, bodySize))
	}()
	defer testkit.Receive(t, "the client to finish", sent)
	if _, err := io.ReadFull(conn, make([]byte, len(head))); err != nil {
		return err
	}
	if !withinBody {
		return nil
	}
	limits := bodyReadLimits{timeout: timeout, deadline: time.Now().Add(time.Hour)}
	clientConnOf(conn).deadline.limitBody(limits)
	_, err := io.ReadFull(conn, make([]byte, bodySize))
	return err
}

// TestRead_NodePausedBetweenReads checks that the rest of a body is read after a pause between two reads. The node is
// paused for most of the time, until the deadline of the whole body has passed on the clock.
func TestRead_NodePausedBetweenReads(t *testing.T) {
	const deadline, wait = 200 * ms, 500 * ms
	const bodySize = 1000
	listener := newTestListener(t, 4)
	pauses := &fakePauses{share: 0.99}
	listener.pauses = pauses
	client, conn := connectClient(t, listener)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", bodySize)
	_, _ = io.WriteString(client, head)
	if _, err := io.ReadFull(conn, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	limits := bodyReadLimits{timeout: time.Minute, deadline: time.Now().Add(deadline)}
	for range 2 {
		clientConnOf(conn).deadline.limitBody(limits)
		sent := make(chan struct{})
		time.AfterFunc(deadline/2, func() { // runs after the read has found no bytes
			defer close(sent)
			_, _ = client.Write(make([]byte, bodySize/2))
		})
		if _, err := io.ReadFull(conn, make([]byte, bodySize/2)); err != nil {
			t.Error(err)
		}
		testkit.Receive(t, "the client's write", sent)
		time.Sleep(wait)
	}
	_ = conn.Close()
	pauses.requireUnused(t)
}

// pausingCounter is the pauseCounter of a node that is paused within each call of Paused.
type pausingCounter struct{ paused time.Duration }

// Begin implements pauseCounter.
func (p *pausingCounter) Begin() {}

// End implements pauseCounter.
func (p *pausingCounter) End() {}

// Paused implements pauseCounter.
func (p *pausingCounter) Paused() time.Duration {
	const pause = 100 * ms
	time.Sleep(pause)
	p.paused += pause
	return p.paused
}

// TestBeginClientTimeout_PauseAsItBegins checks that a timeout does not end before it begins. The node is paused for
// longer than the timeout while the timeout is set up.
func TestBeginClientTimeout_PauseAsItBegins(t *testing.T) {
	var pauses pausingCounter
	timeout := beginClientTimeout(50*ms, &pauses)
	if deadline := timeout.deadline(time.Now(), pauses.paused); !deadline.After(time.Now()) {
		t.Errorf("the new timeout ended %v ago", time.Since(deadline))
	}
}

func plainClient(client net.Conn) net.Conn { return client }

func tlsClient(client net.Conn) net.Conn {
	return tls.Client(client, &tls.Config{InsecureSkipVerify: true})
}

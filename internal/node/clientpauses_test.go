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

// TestBodyReads_ReadDeadline: pauses of the node extend a read by as much, and by maxPauseCredit at most while the node
// runs for half of the time or more.
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
		{timeout, 100 * ms, timeout / 2, timeout/2 + 100*ms}, // the whole body has a deadline of its own
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

// fakePauses is the pauseCounter of a node that is paused for a part of the time. It counts while it is in use.
type fakePauses struct {
	part float64

	mu    sync.Mutex
	uses  int
	began time.Time // of the first of the present uses
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
	return time.Duration(p.part * float64(used))
}

// requireUnused checks that all uses have ended.
func (p *fakePauses) requireUnused(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uses != 0 {
		t.Errorf("%d uses of the pauses have no end", p.uses)
	}
}

// haltingConn calls halt within each write.
type haltingConn struct {
	net.Conn
	halt func()
}

// Write implements net.Conn.
func (c *haltingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	c.halt()
	rest, err := c.Conn.Write(p[len(p)/2:])
	return n + rest, err
}

// TestRead_NodePaused has a client halt within a head or a body, for longer than it may, while the node is mostly
// paused: what it sends then is read, also where it halts within a TLS record. Where the node runs, the read fails.
func TestRead_NodePaused(t *testing.T) {
	const mostly = 0.99
	for _, test := range []struct {
		name       string
		listen     func(t *testing.T, maxConns int) *clientListener
		open       func(client net.Conn) net.Conn
		withinBody bool
		paused     float64 // the part of the time for which the node is paused
	}{
		{"head", newTestListener, plainClient, false, mostly},
		{"head, TLS", newTLSTestListener, tlsClient, false, mostly},
		{"head, node runs", newTestListener, plainClient, false, 0},
		{"head, TLS, node runs", newTLSTestListener, tlsClient, false, 0},
		{"body", newTestListener, plainClient, true, mostly},
		{"body, TLS", newTLSTestListener, tlsClient, true, mostly},
		{"body, node runs", newTestListener, plainClient, true, 0},
		{"body, TLS, node runs", newTLSTestListener, tlsClient, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := test.listen(t, 4)
			pauses := &fakePauses{part: test.paused}
			listener.pauses = pauses
			client, conn := connectClient(t, listener)
			halting := &haltingConn{client, func() {}}
			err := readFromHalting(t, listener, conn, halting, test.open(halting), test.withinBody)
			if wantErr := test.paused == 0; (err != nil) != wantErr {
				t.Errorf("read: %v", err)
			}
			_ = conn.Close()
			pauses.requireUnused(t)
		})
	}
}

// readFromHalting reads a request whose client halts within its head or body for longer than it may. Its write within
// halting is cut in two.
func readFromHalting(
	t *testing.T, listener *clientListener, conn net.Conn, halting *haltingConn, client net.Conn, withinBody bool,
) error {
	t.Helper()
	const timeout, halt = 50 * ms, 500 * ms
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
		halting.halt = func() { time.Sleep(halt) }
		if !withinBody {
			_, _ = io.WriteString(client, head)
		}
		_, _ = client.Write(make([]byte, bodySize))
	}()
	defer testkit.Receive(t, "the client's end", sent)
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

// TestRead_NodePausedBetweenReads has the node read no more of a body until its whole time is over by the clock, for
// most of which the node is paused: the rest is read.
func TestRead_NodePausedBetweenReads(t *testing.T) {
	const deadline, wait = 200 * ms, 500 * ms
	const bodySize = 1000
	listener := newTestListener(t, 4)
	pauses := &fakePauses{part: 0.99}
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
		time.AfterFunc(deadline/2, func() { // behind the read's last look
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

// TestBeginClientTimeout_PauseAsItBegins has the node paused as a time begins, for longer than that: it is not over.
func TestBeginClientTimeout_PauseAsItBegins(t *testing.T) {
	var pauses pausingCounter
	timeout := beginClientTimeout(50*ms, &pauses)
	if deadline := timeout.deadline(time.Now(), pauses.paused); !deadline.After(time.Now()) {
		t.Errorf("over %v ago as it began", time.Since(deadline))
	}
}

func plainClient(client net.Conn) net.Conn { return client }

func tlsClient(client net.Conn) net.Conn {
	return tls.Client(client, &tls.Config{InsecureSkipVerify: true})
}

package node

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// TestBodyPace_ReadDeadline: pauses of the node extend a read by as much, and by maxPauseCredit at most while the node
// runs for half of the time or more.
func TestBodyPace_ReadDeadline(t *testing.T) {
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
		limits := paceLimits{timeout: timeout, deadline: began.Add(test.wholeBody)}
		body := bodyPace{paceLimits: limits, stallBegan: began, pausedBefore: time.Hour, pausedBeforeStall: time.Hour}
		got := body.readDeadline(began.Add(test.elapsed), time.Hour+test.paused)
		if got := got.Sub(began); got != test.want {
			t.Errorf("%+v: deadline after %v", test, got)
		}
	}
}

// fakePauses is a pauseCounter that returns what a test says.
type fakePauses struct{ paused, uses atomic.Int64 }

func (p *fakePauses) Begin() time.Duration { p.uses.Add(1); return p.Paused() }

func (p *fakePauses) End() { p.uses.Add(-1) }

func (p *fakePauses) Paused() time.Duration { return time.Duration(p.paused.Load()) }

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

// TestPacedRead_NodePaused has a client halt within a body for longer than it may, while the node is paused: what it
// sends then is read, also where it halts within a TLS record. Where the node runs, the read fails.
func TestPacedRead_NodePaused(t *testing.T) {
	const timeout = 100 * ms
	const part = 1000 // bytes
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", part)
	for _, test := range []struct {
		name    string
		listen  func(t *testing.T, maxConns int) *clientListener
		open    func(client net.Conn) net.Conn
		paused  time.Duration
		wantErr bool
	}{
		{"plain", newTestListener, plainClient, time.Minute, false},
		{"TLS", newTLSTestListener, tlsClient, time.Minute, false},
		{"plain, node runs", newTestListener, plainClient, 0, true},
		{"TLS, node runs", newTLSTestListener, tlsClient, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var pauses fakePauses
			listener := test.listen(t, 4)
			listener.pauses = &pauses
			raw, conn := connectClient(t, listener)
			halting := &haltingConn{raw, func() {}}
			client := test.open(halting)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				_, _ = io.WriteString(client, head)
				halting.halt = func() {
					time.Sleep(timeout / 2)
					pauses.paused.Store(int64(test.paused))
					time.Sleep(2 * timeout)
				}
				_, _ = client.Write(make([]byte, part))
			}()
			if _, err := io.ReadFull(conn, make([]byte, len(head))); err != nil {
				t.Fatal(err)
			}
			limits := paceLimits{timeout: timeout, deadline: time.Now().Add(time.Hour)}
			clientConnOf(conn).deadline.paceBody(limits)
			_, err := io.ReadFull(conn, make([]byte, part))
			if (err != nil) != test.wantErr {
				t.Errorf("read: %v", err)
			}
			testkit.Receive(t, "the client's end", sent)
			if uses := pauses.uses.Load(); uses != 0 {
				t.Errorf("%d uses of the pauses have no end", uses)
			}
		})
	}
}

func plainClient(client net.Conn) net.Conn { return client }

func tlsClient(client net.Conn) net.Conn {
	return tls.Client(client, &tls.Config{InsecureSkipVerify: true})
}

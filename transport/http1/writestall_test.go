package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// partlyPaused is the pauseCounter of a process that is paused for a part of the time.
type partlyPaused struct {
	part  float64
	since time.Time
	uses  int
}

// Begin implements pauseCounter.
func (p *partlyPaused) Begin() { p.uses++ }

// End implements pauseCounter.
func (p *partlyPaused) End() { p.uses-- }

// Paused implements pauseCounter.
func (p *partlyPaused) Paused() time.Duration {
	return time.Duration(p.part * float64(time.Since(p.since)))
}

// TestWriteStallGuard has a server read nothing for longer than a write may make no progress. While the process is
// mostly paused the write goes on, and ends well once the server reads; where it runs, the write is ended in time.
func TestWriteStallGuard(t *testing.T) {
	const timeout, silence = 50 * time.Millisecond, 500 * time.Millisecond
	const size = 32 << 20 // more than the sockets' buffers hold
	for _, test := range []struct {
		name    string
		paused  float64
		wantErr error
	}{{"paused", 0.99, nil}, {"running", 0, os.ErrDeadlineExceeded}} {
		t.Run(test.name, func(t *testing.T) {
			mayRead := make(chan struct{})
			addr := testkit.RawServer(t, func(peer net.Conn, _ *bufio.Reader) {
				<-mayRead
				_, _ = io.Copy(io.Discard, peer)
			})
			dialed, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = dialed.Close() }()
			time.AfterFunc(silence, func() { close(mayRead) })
			pauses := &partlyPaused{part: test.paused, since: time.Now()}
			connection := &conn{tcp: dialed.(*net.TCPConn)}
			guard := newWriteStallGuard(connection, timeout, pauses)
			time.Sleep(2 * timeout) // no write is in progress, and none is late
			guard.beginWrite()
			_, err = connection.Write(make([]byte, size))
			guard.endWrite()
			guard.stop()
			if !errors.Is(err, test.wantErr) {
				t.Errorf("write: %v, want %v", err, test.wantErr)
			}
			if _, err := connection.Write([]byte("next")); err != nil && test.wantErr == nil {
				t.Errorf("behind the guard: %v", err)
			}
			if pauses.uses != 0 {
				t.Errorf("%d uses of the pauses have no end", pauses.uses)
			}
		})
	}
}

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

// fakePauseCounter is the pauseCounter of a process that is paused for a constant fraction of the time.
type fakePauseCounter struct {
	pausedFraction float64
	startedAt      time.Time
	openUses       int
}

// Begin implements pauseCounter.
func (p *fakePauseCounter) Begin() { p.openUses++ }

// End implements pauseCounter.
func (p *fakePauseCounter) End() { p.openUses-- }

// Paused implements pauseCounter.
func (p *fakePauseCounter) Paused() time.Duration {
	return time.Duration(p.pausedFraction * float64(time.Since(p.startedAt)))
}

// TestWriteStallGuard_IgnoresPausesOfProcess checks that pauses of the process do not count as a stall of the server.
// The server reads nothing for longer than the stall timeout. If the process was paused for most of that time, the
// write succeeds once the server reads. Without pauses, the write is aborted after the timeout.
func TestWriteStallGuard_IgnoresPausesOfProcess(t *testing.T) {
	const timeout, readDelay = 50 * time.Millisecond, 500 * time.Millisecond
	const size = 32 << 20 // bytes, more than the socket buffers hold
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
			time.AfterFunc(readDelay, func() { close(mayRead) })
			pauses := &fakePauseCounter{pausedFraction: test.paused, startedAt: time.Now()}
			connection := &conn{tcp: dialed.(*net.TCPConn)}
			guard := newWriteStallGuard(connection, timeout, pauses)
			time.Sleep(2 * timeout) // must have no effect, since no write is in progress
			guard.beginWrite()
			_, err = connection.Write(make([]byte, size))
			guard.endWrite()
			guard.stop()
			if !errors.Is(err, test.wantErr) {
				t.Errorf("write: %v, want %v", err, test.wantErr)
			}
			if _, err := connection.Write([]byte("next")); err != nil && test.wantErr == nil {
				t.Errorf("write after stop: %v", err)
			}
			if pauses.openUses != 0 {
				t.Errorf("%d calls of Begin without End", pauses.openUses)
			}
		})
	}
}

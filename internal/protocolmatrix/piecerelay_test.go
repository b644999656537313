package protocolmatrix

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

const (
	// maxHeldBytes is the maximum number of bytes that a relay holds back. It is less than the size of any message.
	maxHeldBytes = 12
	// maxHoldTime is how long a relay holds bytes back if no more bytes follow.
	maxHoldTime = 200 * time.Millisecond
)

// startPieceRelay runs a relay to the address to until the test ends, and returns the address of the relay. The relay
// holds back the last bytes that it has received until more bytes follow. Its writes therefore end within messages and,
// with TLS, within records.
func startPieceRelay(t testing.TB, to string, randomInt func(n int) int) string {
	t.Helper()
	return testkit.RawServer(t, func(client net.Conn, _ *bufio.Reader) {
		server, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer func() { _ = server.Close() }()
		var directions sync.WaitGroup
		directions.Go(func() { forwardInPieces(server, client, randomInt) })
		directions.Go(func() { forwardInPieces(client, server, randomInt) })
		directions.Wait()
	})
}

// forwardInPieces forwards bytes until from ends or an error occurs. It then closes the write side of to.
func forwardInPieces(to, from net.Conn, randomInt func(n int) int) {
	defer func() {
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}()
	buf := make([]byte, 32<<10)
	var held []byte
	for {
		_ = from.SetReadDeadline(time.Now().Add(maxHoldTime))
		n, err := from.Read(buf)
		received := slices.Concat(held, buf[:n])
		keep := 0
		if err == nil {
			keep = min(len(received), 1+randomInt(maxHeldBytes))
		}
		if _, writeErr := to.Write(received[:len(received)-keep]); writeErr != nil {
			return
		}
		held = received[len(received)-keep:]
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// relayedListener is a listener whose clients connect through a relay.
type relayedListener struct {
	net.Listener
	relay string // address of the relay
}

// relayedAddr is the address of a relay.
type relayedAddr string

func (relayedAddr) Network() string  { return "tcp" }
func (a relayedAddr) String() string { return string(a) }

func (l relayedListener) Addr() net.Addr { return relayedAddr(l.relay) }

package abusetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// framing is the way in which a server marks the end of an answer.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

func (f framing) String() string { return [...]string{"length", "chunks", "close"}[f] }

// slowWritingServer starts a server that writes each answer in equal pieces over the given time.
func slowWritingServer(t testing.TB, size, pieces int, over time.Duration, end framing) string {
	t.Helper()
	return testkit.RawServer(t, func(conn net.Conn, in *bufio.Reader) {
		for testkit.ReadFullRequest(in) {
			head := "HTTP/1.1 200 OK\r\n"
			switch end {
			case framedByLength:
				head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
			case framedByChunks:
				head += "Transfer-Encoding: chunked\r\n\r\n"
			case framedByClose:
				head += "Connection: close\r\n\r\n"
			}
			_, err := io.WriteString(conn, head)
			began := time.Now()
			for i := range pieces {
				piece := strings.Repeat("x", size/pieces)
				if end == framedByChunks {
					piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
				}
				if err == nil {
					_, err = io.WriteString(conn, piece)
				}
				time.Sleep(time.Until(began.Add(over * time.Duration(i+1) / time.Duration(pieces))))
			}
			if end == framedByChunks && err == nil {
				_, err = io.WriteString(conn, "0\r\n\r\n")
			}
			if err != nil || end == framedByClose {
				return
			}
		}
	})
}

// TestSlowAnswers_Complete checks that long answers that servers write slowly reach their clients completely, also
// while the node shuts down.
func TestSlowAnswers_Complete(t *testing.T) {
	const deadline = 3 * time.Second
	for _, play := range []struct {
		size, pieces int
		over         time.Duration
		terminateAt  time.Duration // time of SIGTERM after the requests; 0: none
	}{
		{size: 100_000, pieces: 50, over: 6 * time.Second},
		{size: 100_000, pieces: 4, over: 8 * time.Second},
		{size: 2 << 20, pieces: 64, over: 6 * time.Second},
		{size: 96 << 10, pieces: 32, over: 4 * time.Second, terminateAt: time.Second},
		{size: 2 << 20, pieces: 32, over: 3900 * time.Millisecond, terminateAt: 400 * time.Millisecond},
	} {
		for _, end := range []framing{framedByLength, framedByChunks, framedByClose} {
			name := fmt.Sprintf("%dKB in %d pieces over %v, end by %v, SIGTERM at %v",
				play.size>>10, play.pieces, play.over, end, play.terminateAt)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				n := startNode(t, nodeConfig{
					memoryMB: smallMemoryMB, descriptors: maxDescriptors, deadline: deadline,
					servers: []string{slowWritingServer(t, play.size, play.pieces, play.over, end)},
				})
				var running sync.WaitGroup
				for i := range 16 {
					running.Go(func() {
						began := time.Now()
						if err := readLongAnswer(n, fmt.Sprint("l", i), deadline, play.size); err != nil {
							t.Errorf("answer %d after %v: %v", i, time.Since(began).Round(time.Millisecond), err)
						}
					})
				}
				if play.terminateAt > 0 {
					time.Sleep(play.terminateAt)
					_ = n.command.Process.Signal(syscall.SIGTERM)
					time.AfterFunc(deadline+700*time.Millisecond, n.kill)
				}
				running.Wait()
			})
		}
	}
}

// readLongAnswer sends a request and returns an error unless its answer has size bytes.
func readLongAnswer(n *node, id string, deadline time.Duration, size int) error {
	conn, err := n.dial(0)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, readyRequest); err != nil { // the long answer is not the first one
		return err
	}
	if _, err := readAnswer(conn); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, requestText(id, bookingClass, deadline)); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	got, err := readAnswer(conn)
	if err != nil {
		return fmt.Errorf("%s, %d of %d bytes: %w", got.status, got.length, size, err)
	}
	if got.status != statusOK || int(got.length) != size {
		return fmt.Errorf("%s, %d of %d bytes", got.status, got.length, size)
	}
	return nil
}

package node

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// serveListener has net/http serve a listener until the test's end.
func serveListener(t *testing.T, listener *clientListener) {
	t.Helper()
	serveHandler(t, listener, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
}

// serveHandler is serveListener with a handler.
func serveHandler(t *testing.T, listener *clientListener, handler http.HandlerFunc) {
	t.Helper()
	server := &http.Server{
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    withClientConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			conn.(interface{ onStateChange(state http.ConnState) }).onStateChange(state)
		},
		Handler: handler,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		listener.closeLingering()
		_ = testkit.Receive(t, "the server's end", ended)
	})
}

// transports are the two ways in which clients connect.
var transports = []struct {
	name   string
	listen func(t *testing.T, maxConns int) *clientListener
}{{"plain", newTestListener}, {"TLS", newTLSTestListener}}

// dialServed connects to a listener that is served, with a handshake where it takes TLS.
func dialServed(t *testing.T, listener *clientListener) net.Conn {
	t.Helper()
	conn := dialClient(t, listener.Addr().String())
	if listener.tlsLayer == nil {
		return conn
	}
	client := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	return client
}

// exchangeSmall sends smallRequest and requires its answer.
func exchangeSmall(t *testing.T, client net.Conn) {
	t.Helper()
	_, _ = io.WriteString(client, smallRequest)
	if status, err := readStatus(client); status != http.StatusOK {
		t.Fatal(status, err)
	}
}

// awaitIdle waits until there is one connection, without a request.
func awaitIdle(t *testing.T, listener *clientListener) {
	t.Helper()
	testkit.Await(t, "the idle connection", func() bool {
		open, busy := listener.connCounts()
		return open == 1 && busy == 0
	})
	time.Sleep(20 * ms) // until net/http reads
}

func awaitNoConns(t *testing.T, listener *clientListener) {
	t.Helper()
	testkit.Await(t, "the end of all connections", func() bool {
		open, _ := listener.connCounts()
		return open == 0 && listener.lingeringCount() == 0
	})
}

// TestUnanswered_ClientClosesIdleConnection has clients close connections whose requests were all answered.
func TestUnanswered_ClientClosesIdleConnection(t *testing.T) {
	for _, transport := range transports {
		t.Run(transport.name, func(t *testing.T) {
			listener := transport.listen(t, 4)
			serveListener(t, listener)
			client := dialServed(t, listener)
			exchangeSmall(t, client)
			awaitIdle(t, listener)
			_ = client.Close()
			awaitNoConns(t, listener)
			if got := listener.unansweredCounts(); got != (unansweredCounts{}) {
				t.Errorf("counted %+v", got)
			}
		})
	}
}

// TestUnanswered_ClientClosesAfterIdleEnd has a client close its side after the node did, without another request.
func TestUnanswered_ClientClosesAfterIdleEnd(t *testing.T) {
	for _, transport := range transports {
		t.Run(transport.name, func(t *testing.T) {
			listener := transport.listen(t, 4)
			listener.idleTimeout = shortTimeout
			serveListener(t, listener)
			client := dialServed(t, listener)
			exchangeSmall(t, client)
			if _, err := readStatus(client); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatal(err)
			}
			_ = client.Close()
			awaitNoConns(t, listener)
			if got := listener.unansweredCounts(); got != (unansweredCounts{}) {
				t.Errorf("counted %+v", got)
			}
		})
	}
}

// TestUnanswered_CountedUnderOneCause has the client close after the time for its head, and net/http read on.
func TestUnanswered_CountedUnderOneCause(t *testing.T) {
	listener, client, conn := newClientPair(t)
	listener.headTimeout = 50 * ms
	_, _ = io.WriteString(client, "GET")
	for range 2 {
		_, _ = conn.Read(make([]byte, 64))
	}
	_ = client.Close()
	testkit.Await(t, "the close", func() bool { return sockets.PeerClosed(conn.TCPConn) })
	_, _ = conn.Read(make([]byte, 64))
	_, _ = conn.Read(make([]byte, 64))
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("counted %+v", got)
	}
}

// TestEviction_DuringSilentHandshake has a connection be evicted that has sent nothing of its handshake: it lingers no
// longer than others.
func TestEviction_DuringSilentHandshake(t *testing.T) {
	listener := newTLSTestListener(t, 4)
	serveListener(t, listener)
	dialClient(t, listener.Addr().String())
	testkit.Await(t, "the connection", func() bool {
		open, _ := listener.connCounts()
		return open == 1
	})
	time.Sleep(50 * ms)
	listener.mu.Lock()
	if !listener.evictIdleLocked(true) {
		t.Error("not evicted")
	}
	listener.mu.Unlock()
	began := time.Now()
	awaitNoConns(t, listener)
	if elapsed := time.Since(began); elapsed > closeHandshakeTimeout+500*ms {
		t.Errorf("it lingered for %v", elapsed)
	}
}

// TestEviction_MeetsClose has a connection be evicted after net/http closed it, and before net/http has said so.
func TestEviction_MeetsClose(t *testing.T) {
	listener, client, conn := newClientPair(t)
	_, _ = io.WriteString(client, "GET")
	_, _ = conn.Read(make([]byte, 64))
	_ = client.Close()
	if n, err := conn.Read(make([]byte, 64)); err == nil {
		t.Fatal(n, err)
	}
	_ = conn.Close()
	listener.mu.Lock()
	conn.lastPartialAt = conn.lastPartialAt.Add(-2 * stalledRequestAge)
	_ = listener.evictStalledLocked()
	listener.mu.Unlock()
	conn.onStateChange(http.StateClosed)
	time.Sleep(closeHandshakeTimeout + 500*ms)
	if n := listener.lingeringCount(); n != 0 {
		t.Errorf("%d connections linger for ever", n)
	}
}

// TestAnswerOfNetHTTP_BytesUnread has net/http close connections after an answer while more bytes come: the client
// reads the answer.
func TestAnswerOfNetHTTP_BytesUnread(t *testing.T) {
	rest := bytes.Repeat([]byte("x"), 256<<10)
	for _, test := range []struct {
		name, head string
		wantStatus int
	}{
		{"malformed", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\nContent-Length: 262144\r\n\r\n", 400},
		{"no host", "POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\n", 400},
		{"expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 262144\r\n\r\n", 417},
		{"connection close", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200},
		{"chunked then malformed", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab", 200},
		{"head too large", "GET / HTTP/1.1\r\nHost: a\r\nA: ", 431},
	} {
		for _, transport := range transports {
			t.Run(test.name+", "+transport.name, func(t *testing.T) {
				t.Parallel()
				listener := transport.listen(t, 4)
				serveListener(t, listener)
				client := dialServed(t, listener)
				_, _ = io.WriteString(client, test.head)
				_, _ = client.Write(rest)
				time.Sleep(100 * ms) // the client is late
				if status, err := readStatus(client); status != test.wantStatus {
					t.Errorf("status %d, %v", status, err)
				}
				if _, err := io.Copy(io.Discard, client); err != nil {
					t.Errorf("behind the answer: %v", err)
				}
			})
		}
	}
}

// TestExpectation_BodyNeverComes has a client send a head that net/http itself answers, and nothing of the body.
func TestExpectation_BodyNeverComes(t *testing.T) {
	t.Parallel()
	listener := newTestListener(t, 4)
	serveListener(t, listener)
	client := dialServed(t, listener)
	_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 100\r\n\r\n")
	_ = client.SetReadDeadline(time.Now().Add(2 * bodyTimeout))
	if _, err := io.ReadAll(client); err != nil {
		t.Errorf("no end of the connection: %v", err)
	}
}

// recordSplitter holds back what is written behind the first bytes.
type recordSplitter struct {
	net.Conn
	mu   sync.Mutex
	left int // bytes to pass on; negative: all
	held []byte
}

func (s *recordSplitter) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left < 0 {
		return s.Conn.Write(data)
	}
	n := min(s.left, len(data))
	s.left -= n
	s.held = append(s.held, data[n:]...)
	if n > 0 {
		if _, err := s.Conn.Write(data[:n]); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

func (s *recordSplitter) limit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = n
}

func dialSplit(t *testing.T, listener *clientListener) (*recordSplitter, *tls.Conn) {
	t.Helper()
	splitter := &recordSplitter{Conn: dialClient(t, listener.Addr().String()), left: -1}
	client := tls.Client(splitter, &tls.Config{InsecureSkipVerify: true})
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	return splitter, client
}

// TestTLSRecord_Partial has a part of a record come, and then nothing: it is a part of a head.
func TestTLSRecord_Partial(t *testing.T) {
	for _, test := range []struct {
		name  string
		drain bool
		want  unansweredCounts
	}{{"then nothing", false, unansweredCounts{timeouts: 1}}, {"after a drain", true, unansweredCounts{drains: 1}}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := newTLSTestListener(t, 4)
			listener.headTimeout = shortTimeout
			serveListener(t, listener)
			splitter, client := dialSplit(t, listener)
			exchangeSmall(t, client)
			awaitIdle(t, listener)
			if test.drain {
				listener.closeIdle()
			}
			splitter.limit(20)
			began := time.Now()
			_, _ = io.WriteString(client, smallRequest)
			if _, err := readStatus(client); !isConnectionEnd(err) {
				t.Fatal(err)
			}
			time.Sleep(closeHandshakeTimeout / 2)
			_ = splitter.Close()
			awaitNoConns(t, listener)
			if got := listener.unansweredCounts(); got != test.want || time.Since(began) > 3*time.Second {
				t.Errorf("counted %+v after %v", got, time.Since(began))
			}
		})
	}
}

// TestTLSRecord_PartialBehindRequest has a part of the next request's record come with a request: after its answer the
// connection is within a head, and a drain doesn't close it.
func TestTLSRecord_PartialBehindRequest(t *testing.T) {
	for _, drain := range []bool{false, true} {
		t.Run(fmt.Sprintf("drain %v", drain), func(t *testing.T) {
			t.Parallel()
			listener := newTLSTestListener(t, 4)
			listener.headTimeout = shortTimeout
			serveListener(t, listener)
			splitter, client := dialSplit(t, listener)
			exchangeSmall(t, client)
			splitter.limit(0)
			_, _ = io.WriteString(client, smallRequest)
			first := len(splitter.held)
			_, _ = io.WriteString(client, smallRequest)
			held := splitter.held
			_, _ = splitter.Conn.Write(held[:first+20])
			reader := bufio.NewReader(client)
			if status, err := readNextStatus(reader); status != http.StatusOK {
				t.Fatal(status, err)
			}
			time.Sleep(20 * ms)
			if drain {
				listener.closeIdle()
				time.Sleep(20 * ms)
				_, _ = splitter.Conn.Write(held[first+20:])
				if status, err := readNextStatus(reader); status != http.StatusOK {
					t.Errorf("the second request: status %d, %v", status, err)
				}
				return
			}
			began := time.Now()
			_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := io.ReadAll(reader)
			if got := listener.unansweredCounts(); err != nil || got != (unansweredCounts{timeouts: 1}) {
				t.Errorf("after %v: %v, counted %+v", time.Since(began), err, got)
			}
		})
	}
}

// TestTLSRecord_PartialWithHandshake has a part of the first request's record come with the end of the handshake.
func TestTLSRecord_PartialWithHandshake(t *testing.T) {
	t.Parallel()
	listener := newTLSTestListener(t, 4)
	listener.headTimeout = shortTimeout
	serveListener(t, listener)
	splitter := &recordSplitter{Conn: dialClient(t, listener.Addr().String()), left: -1}
	holder := &finishedHolder{recordSplitter: splitter}
	client := tls.Client(holder, &tls.Config{InsecureSkipVerify: true})
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	finished := len(splitter.held)
	_, _ = io.WriteString(client, smallRequest)
	_, _ = splitter.Conn.Write(splitter.held[:finished+20])
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.ReadAll(client)
	if got := listener.unansweredCounts(); err != nil || got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("%v, counted %+v", err, got)
	}
}

// finishedHolder passes on the ClientHello alone.
type finishedHolder struct {
	*recordSplitter
	writes int
}

func (h *finishedHolder) Write(p []byte) (int, error) {
	h.writes++
	if h.writes == 2 {
		h.limit(0)
	}
	return h.recordSplitter.Write(p)
}

// readNextStatus is readStatus for a reader that holds bytes of further answers.
func readNextStatus(reader *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// outcomes counts what clients saw.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomes) record(t *testing.T, client net.Conn, about string) {
	_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	status, err := readNextStatus(bufio.NewReader(client))
	outcome := ""
	switch {
	case err == nil:
		outcome = fmt.Sprint(status)
	case errors.Is(err, io.ErrUnexpectedEOF):
		outcome = "orderly close"
	case errors.Is(err, syscall.ECONNRESET):
		outcome = "reset"
		t.Errorf("reset: %s", about)
	default:
		outcome = err.Error()
		t.Errorf("%s: %v", about, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[outcome]++
}

// bigRequest is a request with a body of 256 KiB.
var bigRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 256<<10)

const (
	sweepStep  = 100 * time.Microsecond
	sweepSteps = 100
	sweepIdle  = 60 * ms // from the last answer, or the connect, to the close
)

// TestSweep_FirstByteAboutClose has the first byte of a request come in steps about the close of its idle connection:
// the client sees an answer or an orderly close.
func TestSweep_FirstByteAboutClose(t *testing.T) {
	for _, transport := range transports {
		for size, request := range map[string]string{"small": smallRequest, "256 KiB": bigRequest} {
			for _, event := range []string{"idle", "idle, new", "eviction", "drain"} {
				t.Run(transport.name+", "+size+", "+event, func(t *testing.T) {
					seen := &outcomes{counts: make(map[string]int)}
					limit := make(chan struct{}, 4)
					var all sync.WaitGroup
					for i := range sweepSteps {
						limit <- struct{}{}
						all.Go(func() {
							defer func() { <-limit }()
							sweepOnce(t, transport.listen(t, 1), event, request, time.Duration(i-sweepSteps/2)*sweepStep, seen)
						})
					}
					all.Wait()
					t.Logf("%v", seen.counts)
				})
			}
		}
	}
}

// sweepOnce has a request come offset after the close of its connection by an event.
func sweepOnce(
	t *testing.T, listener *clientListener, event, request string, offset time.Duration, seen *outcomes,
) {
	if strings.HasPrefix(event, "idle") {
		listener.idleTimeout = sweepIdle
	}
	serveListener(t, listener)
	client := dialServed(t, listener)
	if event != "idle, new" {
		exchangeSmall(t, client)
	}
	closeAt := time.Now().Add(sweepIdle)
	switch event {
	case "eviction":
		time.AfterFunc(time.Until(closeAt), func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				time.Sleep(time.Second)
				_ = conn.Close()
			}
		})
	case "drain":
		time.AfterFunc(time.Until(closeAt), listener.closeIdle)
	}
	sendAt := closeAt.Add(offset)
	time.Sleep(time.Until(sendAt) - ms)
	for time.Now().Before(sendAt) { // a sleep is not exact enough
	}
	go func() { _, _ = io.WriteString(client, request) }()
	seen.record(t, client, fmt.Sprint(offset))
	_ = client.Close()
	awaitNoneButSecond(t, listener)
}

// awaitNoneButSecond waits until no connection is left but the one that evicted another.
func awaitNoneButSecond(t *testing.T, listener *clientListener) {
	testkit.Await(t, "the end", func() bool {
		open, _ := listener.connCounts()
		return open <= 1 && listener.lingeringCount() == 0
	})
}

// TestIdleEnd_PausedReader has the reader wait for the mutex at the idle deadline while the request comes, over TLS.
func TestIdleEnd_PausedReader(t *testing.T) {
	for _, transport := range transports {
		for size, request := range map[string]string{"small": smallRequest, "256 KiB": bigRequest} {
			t.Run(transport.name+", "+size, func(t *testing.T) {
				t.Parallel()
				listener := transport.listen(t, 4)
				listener.idleTimeout = shortTimeout
				serveListener(t, listener)
				client := dialServed(t, listener)
				exchangeSmall(t, client)
				time.Sleep(20 * ms)
				listener.mu.Lock()
				time.Sleep(shortTimeout + lateBy)
				go func() { _, _ = io.WriteString(client, request) }()
				time.Sleep(20 * ms)
				listener.mu.Unlock()
				if status, err := readStatus(client); status != http.StatusOK {
					t.Errorf("status %d, %v", status, err)
				}
			})
		}
	}
}

// TestHead_SlowClients has clients send one byte and then nothing, or a byte every second, with the times of the node.
func TestHead_SlowClients(t *testing.T) {
	for _, transport := range transports {
		for _, later := range []bool{false, true} {
			for _, drip := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, later %v, drip %v", transport.name, later, drip), func(t *testing.T) {
					t.Parallel()
					testSlowHead(t, transport.listen(t, 4), later, drip)
				})
			}
		}
	}
}

// testSlowHead has a client send a byte, or one every second, on a new connection or a later one.
func testSlowHead(t *testing.T, listener *clientListener, later, drip bool) {
	t.Helper()
	serveListener(t, listener)
	client := dialServed(t, listener)
	if later {
		exchangeSmall(t, client)
	}
	time.Sleep(time.Second)
	began := time.Now()
	go func() {
		for range 10 {
			if _, err := client.Write([]byte("G")); err != nil || !drip {
				return
			}
			time.Sleep(time.Second)
		}
	}()
	status, err := readStatus(client)
	elapsed := time.Since(began)
	if !errors.Is(err, io.ErrUnexpectedEOF) || elapsed < 2*time.Second || elapsed > 3*time.Second {
		t.Errorf("status %d, %v after %v", status, err, elapsed)
	}
	_ = client.Close()
	awaitNoConns(t, listener)
	want := unansweredCounts{timeouts: 1}
	if status != 0 {
		want = unansweredCounts{} // it was answered
	}
	if got := listener.unansweredCounts(); got != want {
		t.Errorf("counted %+v", got)
	}
}

// TestLinger_SilentHandshakesAreBounded has many clients connect and send nothing of a handshake: the goroutines and
// descriptors of the evicted ones end with them.
func TestLinger_SilentHandshakesAreBounded(t *testing.T) {
	const maxConns, clients = 20, 120
	listener := newTLSTestListener(t, maxConns)
	serveListener(t, listener)
	var highest, highestLingering int
	for range clients {
		dialClient(t, listener.Addr().String())
		time.Sleep(5 * ms)
		listener.mu.Lock()
		highest = max(highest, listener.open+listener.lingering.len())
		highestLingering = max(highestLingering, listener.lingering.len())
		listener.mu.Unlock()
	}
	t.Logf("at most %d open or lingering, %d lingering", highest, highestLingering)
	if highest > maxConns+overflowConns+1 { // one is accepted and not yet placed
		t.Errorf("%d connections", highest)
	}
}

// TestConns_EndTogether has readers, evictions, a drain, closes by the clients and the server's Close meet.
func TestConns_EndTogether(t *testing.T) {
	for _, transport := range transports {
		t.Run(transport.name, func(t *testing.T) {
			listener := transport.listen(t, 8)
			listener.idleTimeout, listener.headTimeout = 15*ms, 15*ms
			serveListener(t, listener)
			stop := time.Now().Add(4 * time.Second)
			var all sync.WaitGroup
			for i := range 24 {
				all.Go(func() {
					for time.Now().Before(stop) {
						plain, err := net.Dial("tcp", listener.Addr().String())
						if err != nil {
							continue
						}
						client := plain
						if listener.tlsLayer != nil {
							client = tls.Client(plain, &tls.Config{InsecureSkipVerify: true})
						}
						_ = client.SetDeadline(time.Now().Add(300 * ms))
						_, _ = io.WriteString(client, smallRequest[:1+i])
						time.Sleep(time.Duration(i) * ms)
						_, _ = io.WriteString(client, smallRequest[1+i:])
						_, _ = readNextStatus(bufio.NewReader(client))
						time.Sleep(time.Duration(24-i) * ms)
						_ = plain.Close()
					}
				})
			}
			all.Go(func() {
				for time.Now().Before(stop) {
					listener.closeIdle()
					time.Sleep(3 * ms)
					listener.cancelCloseIdle()
					time.Sleep(10 * ms)
				}
			})
			all.Wait()
			time.Sleep(closeHandshakeTimeout + 500*ms)
			open, _ := listener.connCounts()
			if lingering := listener.lingeringCount(); open != 0 || lingering != 0 {
				t.Errorf("%d open, %d lingering at the end", open, lingering)
			}
			t.Logf("%+v", listener.unansweredCounts())
		})
	}
}

// TestHead_TimeEndsWithIt has a request whose head comes in two parts take longer, for its body and its answer, than
// the times for a head and of idle connections, as the first one and as a later one.
func TestHead_TimeEndsWithIt(t *testing.T) {
	for _, transport := range transports {
		for _, parts := range [][]string{
			{"POST / HTTP/1.1\r\n", "Host: a\r\nContent-Length: 2\r\n\r\n", "b", "b"},
			{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n", "b", "b"},
			{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"},
			{smallRequest},
		} {
			t.Run(fmt.Sprint(transport.name, len(parts)), func(t *testing.T) {
				t.Parallel()
				testSlowParts(t, transport.listen(t, 4), parts)
			})
		}
	}
}

// testSlowParts sends two requests, each in parts of which the first may be a part of the head.
func testSlowParts(t *testing.T, listener *clientListener, parts []string) {
	t.Helper()
	const timeout = 150 * ms
	listener.headTimeout, listener.idleTimeout = timeout, timeout
	serveHandler(t, listener, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-time.After(2 * timeout):
		}
	})
	client := dialServed(t, listener)
	for range 2 {
		for i, part := range parts {
			_, _ = io.WriteString(client, part)
			if headComplete := i > 0 || strings.HasSuffix(part, "\r\n\r\n"); headComplete {
				time.Sleep(2 * timeout)
			} else {
				time.Sleep(timeout / 10)
			}
		}
		if status, err := readStatus(client); status != http.StatusOK {
			t.Fatalf("status %d, %v", status, err)
		}
	}
	if got := listener.unansweredCounts(); got != (unansweredCounts{}) {
		t.Errorf("counted %+v", got)
	}
}

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

// serveListener serves a listener with net/http until the test ends. The handler discards the request body.
func serveListener(t *testing.T, listener *clientListener) {
	t.Helper()
	serveHandler(t, listener, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
}

// serveHandler is like serveListener, with the given handler.
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

// transports are the two kinds of client listeners: with and without TLS.
var transports = []struct {
	name   string
	listen func(t *testing.T, maxConns int) *clientListener
}{{"plain", newTestListener}, {"TLS", newTLSTestListener}}

// dialServed connects to a listener that is being served. With TLS it also completes the handshake.
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

// exchangeSmall sends smallRequest and requires a response with status 200.
func exchangeSmall(t *testing.T, client net.Conn) {
	t.Helper()
	_, _ = io.WriteString(client, smallRequest)
	if status, err := readStatus(client); status != http.StatusOK {
		t.Fatal(status, err)
	}
}

// awaitIdle waits until the listener has exactly one connection, which is idle.
func awaitIdle(t *testing.T, listener *clientListener) {
	t.Helper()
	testkit.Await(t, "the idle connection", func() bool {
		open, busy := listener.connCounts()
		return open == 1 && busy == 0
	})
	time.Sleep(20 * ms) // lets net/http start its next read
}

func awaitNoConns(t *testing.T, listener *clientListener) {
	t.Helper()
	testkit.Await(t, "the end of all connections", func() bool {
		open, _ := listener.connCounts()
		return open == 0 && listener.lingeringCount() == 0
	})
}

// TestUnanswered_ClientClosesIdleConnection checks that a close by the client is not counted as unanswered if all
// requests of the connection were answered.
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
				t.Errorf("unanswered counts %+v", got)
			}
		})
	}
}

// TestUnanswered_ClientClosesAfterIdleEnd checks that an idle connection closed by the node is not counted as
// unanswered. The client then closes its own side without another request.
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
				t.Errorf("unanswered counts %+v", got)
			}
		})
	}
}

// TestUnanswered_CountedUnderOneCause checks that a request is counted once. Its head times out, and its client then
// closes the connection while net/http reads on.
func TestUnanswered_CountedUnderOneCause(t *testing.T) {
	listener, client, conn := newClientPair(t)
	listener.headTimeout = 50 * ms
	_, _ = io.WriteString(client, "GET")
	for range 2 {
		_, _ = conn.Read(make([]byte, 64))
	}
	_ = client.Close()
	testkit.Await(t, "the client's close to arrive", func() bool { return sockets.PeerClosed(conn.TCPConn) })
	_, _ = conn.Read(make([]byte, 64))
	_, _ = conn.Read(make([]byte, 64))
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("unanswered counts %+v", got)
	}
}

// TestEviction_DuringSilentHandshake checks that a connection that is evicted before the first byte of its TLS
// handshake lingers no longer than other connections.
func TestEviction_DuringSilentHandshake(t *testing.T) {
	listener := newTLSTestListener(t, 4)
	serveListener(t, listener)
	dialClient(t, listener.Addr().String())
	testkit.Await(t, "the connection to be accepted", func() bool {
		open, _ := listener.connCounts()
		return open == 1
	})
	time.Sleep(50 * ms)
	listener.mu.Lock()
	if !listener.evictIdleLocked(true) {
		t.Error("the connection was not evicted")
	}
	listener.mu.Unlock()
	began := time.Now()
	awaitNoConns(t, listener)
	if elapsed := time.Since(began); elapsed > closeHandshakeTimeout+500*ms {
		t.Errorf("the connection lingered for %v", elapsed)
	}
}

// TestEviction_AfterClose checks that a connection does not linger forever if it is evicted late. The eviction comes
// after net/http has closed the connection, but before net/http has reported the close through ConnState.
func TestEviction_AfterClose(t *testing.T) {
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
		t.Errorf("%d connections still linger", n)
	}
}

// TestAnswerOfNetHTTP_BytesUnread checks that the client reads the response and an orderly close. net/http closes the
// connection after its response while more bytes arrive. A close with unread bytes would reset the connection and
// lose the response.
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
				time.Sleep(100 * ms) // the client reads late
				if status, err := readStatus(client); status != test.wantStatus {
					t.Errorf("status %d, %v", status, err)
				}
				if _, err := io.Copy(io.Discard, client); err != nil {
					t.Errorf("reading after the response: %v", err)
				}
			})
		}
	}
}

// TestExpectation_BodyNeverComes checks that a connection ends if its client never sends the body. The client sends
// only a head. The head has an unsupported Expect, so net/http itself answers 417.
func TestExpectation_BodyNeverComes(t *testing.T) {
	t.Parallel()
	listener := newTestListener(t, 4)
	serveListener(t, listener)
	client := dialServed(t, listener)
	_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 100\r\n\r\n")
	_ = client.SetReadDeadline(time.Now().Add(2 * bodyTimeout))
	if _, err := io.ReadAll(client); err != nil {
		t.Errorf("the connection did not end: %v", err)
	}
}

// recordSplitter passes on the first bytes that are written to the connection, and holds back the rest.
type recordSplitter struct {
	net.Conn
	mu        sync.Mutex
	remaining int // number of bytes to pass on; negative: no limit
	held      []byte
}

func (s *recordSplitter) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining < 0 {
		return s.Conn.Write(data)
	}
	n := min(s.remaining, len(data))
	s.remaining -= n
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
	s.remaining = n
}

func dialSplit(t *testing.T, listener *clientListener) (*recordSplitter, *tls.Conn) {
	t.Helper()
	splitter := &recordSplitter{Conn: dialClient(t, listener.Addr().String()), remaining: -1}
	client := tls.Client(splitter, &tls.Config{InsecureSkipVerify: true})
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	return splitter, client
}

// TestTLSRecord_Partial checks that a part of a TLS record on an idle connection counts as the start of a request.
// The request stays unanswered, because of the head timeout or because a drain has closed the connection.
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
				t.Errorf("unanswered counts %+v after %v", got, time.Since(began))
			}
		})
	}
}

// TestTLSRecord_PartialBehindRequest checks that a part of a TLS record behind a request counts as the start of the
// next request. The part arrives together with the first request. After the response, the connection must count as
// within a head. The head timeout applies, and a drain does not close the connection.
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
				t.Errorf("after %v: %v, unanswered counts %+v", time.Since(began), err, got)
			}
		})
	}
}

// TestTLSRecord_PartialWithHandshake checks that the head timeout applies to a part of the first request's record.
// The part arrives together with the end of the handshake.
func TestTLSRecord_PartialWithHandshake(t *testing.T) {
	t.Parallel()
	listener := newTLSTestListener(t, 4)
	listener.headTimeout = shortTimeout
	serveListener(t, listener)
	splitter := &recordSplitter{Conn: dialClient(t, listener.Addr().String()), remaining: -1}
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
		t.Errorf("read error %v, unanswered counts %+v", err, got)
	}
}

// finishedHolder passes on the first write, which is the ClientHello. It holds back the client's Finished message and
// all later bytes.
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

// readNextStatus is readStatus for a reader that may also hold bytes of later responses.
func readNextStatus(reader *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// outcomes counts what clients received: a status, an orderly close, or an error.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

// record reads a response and counts the outcome. A reset, or any other error except an orderly close, fails the
// test.
func (o *outcomes) record(t *testing.T, client net.Conn, label string) {
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
		t.Errorf("connection reset: %s", label)
	default:
		outcome = err.Error()
		t.Errorf("%s: %v", label, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[outcome]++
}

// bigRequest is a request with a body of 256 KiB.
var bigRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 256<<10)

const (
	sweepStep  = 100 * time.Microsecond // difference between successive offsets from the close
	sweepSteps = 100
	sweepIdle  = 60 * ms // time from the last response, or the connect, to the close
)

// TestClose_FirstByteArrivesNearClose checks that a client always sees a response or an orderly close, and never a
// reset. The first byte of a request arrives shortly before or after the close of its idle connection, in steps of
// sweepStep.
func TestClose_FirstByteArrivesNearClose(t *testing.T) {
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

// sweepOnce sends a request at the given offset from the event that closes its connection.
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
	for time.Now().Before(sendAt) { // busy loop, because time.Sleep is not precise enough
	}
	go func() { _, _ = io.WriteString(client, request) }()
	seen.record(t, client, fmt.Sprint(offset))
	_ = client.Close()
	awaitAtMostOneConn(t, listener)
}

// awaitAtMostOneConn waits until no connection lingers and at most one connection is open. After an eviction, the
// connection that got the slot is still open.
func awaitAtMostOneConn(t *testing.T, listener *clientListener) {
	testkit.Await(t, "all other connections to end", func() bool {
		open, _ := listener.connCounts()
		return open <= 1 && listener.lingeringCount() == 0
	})
}

// TestIdleEnd_PausedReader checks that a request is served if it arrives while the reader waits for the mutex at the
// idle deadline. The cases are a plain connection and TLS.
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
				time.Sleep(shortTimeout + timeoutMargin)
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

// TestHead_SlowClients checks that the node's default head timeout applies to clients that send one byte and then
// nothing, or one byte a second.
func TestHead_SlowClients(t *testing.T) {
	for _, transport := range transports {
		for _, reused := range []bool{false, true} {
			for _, keepsSending := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reused %v, keeps sending %v", transport.name, reused, keepsSending), func(t *testing.T) {
					t.Parallel()
					testSlowHead(t, transport.listen(t, 4), reused, keepsSending)
				})
			}
		}
	}
}

// testSlowHead checks the head timeout for a client that sends one byte, or one byte a second if keepsSending is set.
// The connection is new, or has carried a request if reused is set.
func testSlowHead(t *testing.T, listener *clientListener, reused, keepsSending bool) {
	t.Helper()
	serveListener(t, listener)
	client := dialServed(t, listener)
	if reused {
		exchangeSmall(t, client)
	}
	time.Sleep(time.Second)
	began := time.Now()
	go func() {
		for range 10 {
			if _, err := client.Write([]byte("G")); err != nil || !keepsSending {
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
		want = unansweredCounts{} // the request was answered
	}
	if got := listener.unansweredCounts(); got != want {
		t.Errorf("unanswered counts %+v", got)
	}
}

// TestLinger_SilentHandshakesAreBounded checks that evicted connections release their goroutines and descriptors.
// Many clients connect and send nothing of a TLS handshake.
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
	if highest > maxConns+overflowConns+1 { // one more connection is accepted and waits for its slot
		t.Errorf("%d connections open or lingering", highest)
	}
}

// TestConns_ConcurrentCloses checks that all connections are released if reads, timeouts, evictions, drains and
// closes by the clients happen at the same time.
func TestConns_ConcurrentCloses(t *testing.T) {
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

// TestHead_TimeoutEndsWithHead checks that the head and idle timeouts do not end an open request. The body and the
// response take longer than both timeouts. The request is the first or a later request of its connection, and its
// head may arrive in two parts.
func TestHead_TimeoutEndsWithHead(t *testing.T) {
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

// testSlowParts sends two requests, each in the given parts. The first part may be an incomplete head.
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
		t.Errorf("unanswered counts %+v", got)
	}
}

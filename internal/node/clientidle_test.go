package node

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// TestFirstRequest_LongAfterConnect checks that a new connection may send its first request later than headerTimeout
// after the connect. The head timeout must not apply before the first byte.
func TestFirstRequest_LongAfterConnect(t *testing.T) {
	node := newTestNode(t, 1)
	node.startWithClient()
	client, err := net.Dial("tcp", node.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	time.Sleep(headerTimeout + 300*ms)
	_ = client.SetDeadline(time.Now().Add(testkit.MaxWait))
	const request = "GET /api HTTP/1.1\r\nHost: n\r\nX-Request-Id: r\r\nX-Class: hladanie\r\nX-Tenant: t\r\n" +
		"X-Deadline-Ms: 1500\r\n\r\n"
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(client, status); err != nil || string(status) != "HTTP/1.1 200" {
		t.Errorf("status line %q, %v", status, err)
	}
}

// TestHead_TimeoutRunsFromFirstByte checks that the head timeout counts from the first byte of the head. It must not
// restart with each byte, or a slow client could extend it. It must not include the idle time before the first byte.
func TestHead_TimeoutRunsFromFirstByte(t *testing.T) {
	const headTimeout = 200 * ms
	for _, test := range []struct {
		name   string
		listen func(t *testing.T, maxConns int) *clientListener
		open   func(client net.Conn) net.Conn
	}{
		{"plain", newTestListener, func(client net.Conn) net.Conn { return client }},
		{"TLS", newTLSTestListener, func(client net.Conn) net.Conn {
			return tls.Client(client, &tls.Config{InsecureSkipVerify: true})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener := test.listen(t, 4)
			listener.headTimeout = headTimeout
			plain, conn := connectClient(t, listener)
			client := test.open(plain)
			readEnded := make(chan error, 1)
			go func() {
				var err error
				for err == nil {
					_, err = conn.Read(make([]byte, 64))
				}
				readEnded <- err
			}()
			if secured, ok := client.(*tls.Conn); ok {
				if err := secured.Handshake(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(2 * headTimeout) // idle before the first byte
			began := time.Now()
			go func() {
				for { // if each byte restarted the timeout, the timeout would never expire
					if _, err := client.Write([]byte("G")); err != nil {
						return
					}
					time.Sleep(headTimeout / 10)
				}
			}()
			err := testkit.Receive(t, "the end of the head", readEnded)
			if elapsed := time.Since(began); !errors.Is(err, os.ErrDeadlineExceeded) || elapsed < headTimeout/2 {
				t.Errorf("the head ended with %v after %v", err, elapsed)
			}
			if got := listener.unansweredCounts(); got.timeouts != 1 {
				t.Errorf("unanswered counts %+v", got)
			}
		})
	}
}

// TestIdleEnd_RequestArrives checks that no request around the end of the idle timeout is lost unnoticed. Bytes that
// arrive before the end are read. Bytes that arrive after the end are counted as unanswered. The client must see an
// orderly close, because a reset could destroy a response that the client has not read yet.
func TestIdleEnd_RequestArrives(t *testing.T) {
	const idleTimeout = 50 * ms
	body := make([]byte, 256<<10)
	for _, test := range []struct {
		name         string
		listen       func(t *testing.T, maxConns int) *clientListener
		beforeEnd    bool
		pause        time.Duration // pause of the node between the idle timeout and the close
		wantIdleEnds uint64
	}{
		{"ahead of the end", newTestListener, true, 0, 0},
		{"at once", newTestListener, false, 0, 1},
		{"within a pause", newTestListener, false, 150 * ms, 1},
		{"within a long pause", newTestListener, false, 3 * time.Second, 1},
		{"ahead of the end, TLS", newTLSTestListener, true, 0, 0},
		{"within a pause, TLS", newTLSTestListener, false, 150 * ms, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			listener := test.listen(t, 4)
			listener.idleTimeout = idleTimeout
			plain, conn := connectClient(t, listener)
			client, tcp := plain, tcpOf(conn)
			if listener.tlsLayer != nil {
				client = established(t, plain, conn)
			}
			if test.beforeEnd {
				sendRequestLine(t, client)
				testkit.Await(t, "the bytes to arrive", func() bool { return sockets.Unread(tcp) > 0 })
				time.Sleep(2 * idleTimeout) // the node reads only after the idle timeout
			}
			n, err := conn.Read(make([]byte, 64))
			if read := n > 0 && err == nil; read != test.beforeEnd {
				t.Fatalf("read %d bytes, %v", n, err)
			}
			if test.beforeEnd {
				return
			}
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				sendRequestLine(t, client)
				_, _ = client.Write(body) // fails if the close has reached the client already
			}()
			testkit.Await(t, "the bytes to arrive", func() bool { return sockets.Unread(tcp) > 0 })
			time.Sleep(test.pause)
			_ = conn.Close() // net/http closes the connection after a failed read
			_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
			if n, err := client.Read(make([]byte, 64)); n != 0 || !errors.Is(err, io.EOF) {
				t.Errorf("the client reads %d bytes, %v, want an orderly close", n, err)
			}
			<-sent
			_ = client.Close()
			testkit.Await(t, "the end of the connection", func() bool { return listener.lingeringCount() == 0 })
			if got := listener.unansweredCounts(); got != (unansweredCounts{idleEnds: test.wantIdleEnds}) {
				t.Errorf("unanswered counts %+v", got)
			}
		})
	}
}

// TestEviction_RequestArrivesAfterwards checks that a client sees an orderly close instead of a reset if its long
// request arrives after its idle connection was evicted. The connection must be counted as evicted.
func TestEviction_RequestArrivesAfterwards(t *testing.T) {
	listener, client, conn := newClientPair(t)
	conn.requestSeen = true // a connection with an earlier request gets no rejection
	listener.mu.Lock()
	evicted := listener.evictIdleLocked(true)
	listener.mu.Unlock()
	if !evicted {
		t.Fatal("the connection is not evicted")
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = client.Write(make([]byte, 256<<10))
	}()
	testkit.Await(t, "the bytes to arrive", func() bool { return sockets.Unread(conn.TCPConn) > 0 })
	if n, err := conn.Read(make([]byte, 64)); n != 0 || err == nil {
		t.Errorf("the request is read after the eviction: %d bytes, %v", n, err)
	}
	_ = conn.Close()
	if n, err := client.Read(make([]byte, 64)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the client reads %d bytes, %v, want an orderly close", n, err)
	}
	<-sent
	if got := listener.unansweredCounts(); got != (unansweredCounts{evictions: 1}) {
		t.Errorf("unanswered counts %+v", got)
	}
}

// TestEviction_SilentConnectionsFirst checks that a silent connection is evicted first once it is old enough. One of
// two idle connections has carried a request. The client of the newer connection has sent nothing. The newer
// connection is evicted if it is older than silentConnAge, and the other connection otherwise.
func TestEviction_SilentConnectionsFirst(t *testing.T) {
	for _, test := range []struct {
		name       string
		silentFor  time.Duration
		wantSilent bool // whether the silent connection is evicted
	}{
		{"old", silentConnAge, true},
		{"new", silentConnAge / 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, _, used := newClientPair(t)
			_, accepted := connectClient(t, listener)
			silent := accepted.(*clientConn)
			listener.mu.Lock()
			defer listener.mu.Unlock()
			used.requestSeen = true
			silent.openedAt = silent.openedAt.Add(-test.silentFor)
			if !listener.evictIdleLocked(false) || silent.closed != test.wantSilent || used.closed == test.wantSilent {
				t.Errorf("evicted: silent connection %v, other connection %v", silent.closed, used.closed)
			}
		})
	}
}

// TestLinger_Descriptors checks that open and lingering connections together use at most the descriptors reserved for
// them. The test evicts more connections than may linger.
func TestLinger_Descriptors(t *testing.T) {
	const maxConns = 4
	listener := newTestListener(t, maxConns)
	listener.queueTimeout = func() time.Duration { return 0 }
	for range 4 * (maxConns + overflowConns) {
		connectClient(t, listener) // evicts a silent connection; its client does not close it
		listener.mu.Lock()
		open, lingering := listener.open, listener.lingering.len()
		listener.mu.Unlock()
		if open > maxConns || open+lingering > maxConns+overflowConns+maxEvictedConns {
			t.Fatalf("%d connections open, %d lingering", open, lingering)
		}
	}
}

// TestUnanswered_ServedRequestsAreNotCounted checks that answered requests are not counted as unanswered. During a
// request, net/http ends its background read with a read deadline in the past. The end of this read looks like a
// timeout.
func TestUnanswered_ServedRequestsAreNotCounted(t *testing.T) {
	node := newTestNode(t, 1)
	client := node.startWithClient()
	for range 20 {
		resp, err := node.get(t.Context(), client, "r")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	metrics := node.metrics()
	for _, cause := range []string{"timeout", "client_closed", "idle_end", "evicted", "drain"} {
		if n, ok := metrics["unanswered."+cause]; n != 0 || !ok {
			t.Errorf("metric unanswered.%s is %v, present: %v", cause, n, ok)
		}
	}
}

// lingeringCount returns the number of connections that linger.
func (l *clientListener) lingeringCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering.len()
}

// tcpOf returns the TCP connection beneath an accepted connection.
func tcpOf(conn net.Conn) *net.TCPConn {
	if secured, ok := conn.(*tlsClientConn); ok {
		return secured.conn.TCPConn
	}
	return conn.(*clientConn).TCPConn
}

// established performs the TLS handshake between both ends of a connection and returns the client's TLS connection.
// It sends no byte of a request.
func established(t *testing.T, plain, conn net.Conn) net.Conn {
	t.Helper()
	client := tls.Client(plain, &tls.Config{InsecureSkipVerify: true})
	done := make(chan error, 1)
	go func() { done <- client.Handshake() }()
	if _, err := conn.Write(nil); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Receive(t, "the handshake", done); err != nil {
		t.Fatal(err)
	}
	return client
}

package node

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/testkit"
)

// gatedConn is a connection whose reads wait until open is closed.
type gatedConn struct {
	net.Conn
	open <-chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	<-c.open
	return c.Conn.Read(p)
}

// startGatedHandshakes makes count clients send their ClientHello and returns the node's connections. The clients go
// on with their handshakes when answer is closed.
func startGatedHandshakes(
	t *testing.T, listener *clientListener, count int, answer <-chan struct{},
) (conns []*clientConn) {
	t.Helper()
	for range count {
		client := dialClient(t, listener.Addr().String())
		go func() { // ends when the test closes the connection
			_ = tls.Client(&gatedConn{client, answer}, &tls.Config{InsecureSkipVerify: true}).Handshake()
		}()
		conn := acceptClientConn(t, listener)
		t.Cleanup(func() { _ = conn.Close() })
		testkit.Await(t, "the ClientHello", conn.hasUnread)
		conns = append(conns, conn)
	}
	return conns
}

// holdCPU occupies the only core of cpu until the returned function is called.
func holdCPU(t *testing.T, cpu *handshakes.CPUScheduler) (release func()) {
	t.Helper()
	listener := newTestListener(t, 1)
	tcp := dialClient(t, listener.Addr().String()).(*net.TCPConn)
	holder := handshakes.NewConn(tcp, cpu, false, time.Now().Add(testkit.MaxWait), nil)
	if err := holder.BeginCompute(); err != nil {
		t.Fatal(err)
	}
	return func() { holder.EndHandshake() }
}

// countClosed returns how many of the connections were ended.
func (l *clientListener) countClosed(conns []*clientConn) (closed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if conn.closed {
			closed++
		}
	}
	return closed
}

// allAnswered reports whether all of the handshakes wait for their clients.
func allAnswered(conns []*clientConn) bool {
	for _, conn := range conns {
		if conn.tls.NothingReceived() || conn.tls.HandshakeOnCPU() {
			return false
		}
	}
	return true
}

// serveHandshakes makes the node perform the handshakes of conns.
func serveHandshakes(conns []*clientConn) {
	for _, conn := range conns {
		go func() { _, _ = conn.tls.Read(make([]byte, 1)) }()
	}
}

// TestHandshakeEviction_SparesClientsThatWaitForTheNode guards against the end of a handshake for a delay of the node
// itself. As many handshakes as may wait for their clients are a minute old, all of it spent by the node: it has not
// read the ClientHello, or the computation of its answer waited for the CPU. Another client connects. It must wait
// until the other handshakes proceed.
func TestHandshakeEviction_SparesClientsThatWaitForTheNode(t *testing.T) {
	const maxHandshakes = 4
	for _, name := range []string{"ClientHello unread", "CPU busy"} {
		t.Run(name, func(t *testing.T) {
			cpu := handshakes.NewCPUScheduler(1, 1, func() bool { return false })
			listener := newTestListener(t, 2*maxHandshakes)
			var err error
			listener.tlsLayer, err = secure.New(secure.Config{
				Certificates: openTestCertificate(t), CPU: cpu, Timeout: testkit.MaxWait,
			})
			if err != nil {
				t.Fatal(err)
			}
			release, answer := holdCPU(t, cpu), make(chan struct{})
			conns := startGatedHandshakes(t, listener, maxHandshakes, answer)
			for _, conn := range conns {
				conn.acceptedAt = conn.acceptedAt.Add(-time.Minute)
			}
			proceed := func() { serveHandshakes(conns); release() }
			if name == "CPU busy" {
				proceed()
				testkit.Await(t, "the answers of the node", func() bool { return allAnswered(conns) })
				proceed = func() {}
			}
			dialClient(t, listener.Addr().String())
			time.AfterFunc(200*ms, func() { proceed(); close(answer) })
			_ = acceptClientConn(t, listener).Close()
			if closed := listener.countClosed(conns); closed > 0 {
				t.Errorf("%d of %d handshakes were ended", closed, maxHandshakes)
			}
		})
	}
}

// TestEviction_SparesConnectionAtEndOfHandshake guards against the eviction of a connection whose TLS handshake has
// just ended, for the age that it had before. The test holds the mutex, so that the search for a connection to evict
// comes between the end of the handshake and the record of its time.
func TestEviction_SparesConnectionAtEndOfHandshake(t *testing.T) {
	listener := newTLSTestListener(t, 2)
	answer := make(chan struct{})
	conn := startGatedHandshakes(t, listener, 1, answer)[0]
	listener.mu.Lock()
	defer listener.mu.Unlock()
	conn.openedAt = conn.openedAt.Add(-time.Minute)
	serveHandshakes([]*clientConn{conn})
	close(answer)
	testkit.Await(t, "the end of the handshake", func() bool { return !conn.isHandshaking() })
	if listener.evictIdleLocked(false) {
		t.Error("the connection was evicted")
	}
}

// TestEviction_SparesNewTLSConnections guards against the eviction of a connection right after its TLS handshake, with
// its first request in transit. All slots are taken by new connections, and the next ones have waited for the queue
// timeout. They become overflow connections. Beyond the maximum number of overflow connections, the next one waits for
// the end of tlsRequestGrace.
func TestEviction_SparesNewTLSConnections(t *testing.T) {
	const maxConns = 2
	listener := newTLSTestListener(t, maxConns)
	listener.queueTimeout = func() time.Duration { return 0 }
	answer := make(chan struct{})
	close(answer)
	var conns []*clientConn
	for range maxConns + overflowConns {
		conn := startGatedHandshakes(t, listener, 1, answer)[0]
		serveHandshakes([]*clientConn{conn})
		testkit.Await(t, "the end of the handshake", func() bool {
			listener.mu.Lock()
			defer listener.mu.Unlock()
			conn.openedAt = time.Now().Add(testkit.MaxWait) // the connection remains new
			return conn.established
		})
		conns = append(conns, conn)
	}
	if closed := listener.countClosed(conns); closed > 0 {
		t.Errorf("%d of %d new connections were evicted", closed, len(conns))
	}
	began := time.Now()
	listener.mu.Lock()
	for _, conn := range conns {
		conn.openedAt = time.Now()
	}
	listener.mu.Unlock()
	startGatedHandshakes(t, listener, 1, answer)
	if elapsed := time.Since(began); elapsed < tlsRequestGrace {
		t.Errorf("accepted after %v, want at least %v", elapsed, tlsRequestGrace)
	}
	if closed := listener.countClosed(conns); closed != 1 {
		t.Errorf("%d connections were evicted for the next one, want 1", closed)
	}
}

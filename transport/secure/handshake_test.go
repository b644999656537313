package secure

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// TestHandshake_FailureReasons checks that a failed handshake is counted under its reason. The server violates the
// protocol or breaks the connection. A server that sends nothing must not delay the handshake beyond its timeout.
func TestHandshake_FailureReasons(t *testing.T) {
	ca := pki.NewAuthority("ours")
	trust, _ := openTrust(t, ca)
	certificate := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	handshake := func(conn net.Conn, pair pki.Pair) { _ = tls.Server(conn, serverConfig(pair.TLS())).Handshake() }
	for name, test := range map[string]struct {
		serve func(net.Conn)
		want  string
	}{
		"sends nothing": {func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, "no answer in time"},
		"closes":        {func(c net.Conn) { _, _ = c.Read(make([]byte, 64<<10)) }, "closed"},
		"resets": {func(c net.Conn) {
			_, _ = c.Read(make([]byte, 100))
			_ = c.(*net.TCPConn).SetLinger(0)
		}, "broken off"},
		"answers in plain HTTP": {func(c net.Conn) {
			_, _ = c.Read(make([]byte, 64<<10))
			_, _ = fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\n\r\n")
		}, reasonNoTLS},
		"closes during the handshake": {func(c net.Conn) {
			handshake(&truncatedConn{Conn: c, remaining: 200}, certificate)
		}, "closed"},
		"sends 100 KB": {func(c net.Conn) {
			handshake(c, ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, Padding: 100 << 10}))
		}, reasonTooMuchData},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := testkit.RawServer(t, func(conn net.Conn, _ *bufio.Reader) { test.serve(conn) })
			client := newClient(t, Config{Rules: []Rule{{Trust: trust}}, HandshakeTimeout: 300 * time.Millisecond})
			if _, err := connect(t, client, router.Endpoint{ID: "s1", Addr: addr}); err == nil {
				t.Fatal("the handshake succeeded")
			}
			if stats := client.Stats(); stats.Failures[test.want] != 1 {
				t.Errorf("failures %v, want one with the reason %q", stats.Failures, test.want)
			}
		})
	}
}

// truncatedConn is a connection that closes after a limited number of written bytes.
type truncatedConn struct {
	net.Conn
	remaining int
}

func (c *truncatedConn) Write(p []byte) (int, error) {
	if c.remaining -= len(p); c.remaining < 0 {
		_, _ = c.Conn.Write(p[:max(0, len(p)+c.remaining)])
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// TestHandshake_ConcurrencyLimits checks that 40 requested handshakes with one server respect the limits. At most
// MaxPerServer handshakes run at once, or MaxPerWarmingServer while the server is warming up. A handshake that finds
// the queue full is rejected.
func TestHandshake_ConcurrencyLimits(t *testing.T) {
	ca := pki.NewAuthority("ours")
	trust, _ := openTrust(t, ca)
	certificate := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()
	for _, test := range []struct {
		name          string
		warmingUp     bool
		maxConcurrent int
	}{
		{"warm", false, 3},
		{"warming up", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			counter := &concurrencyCounter{certificate: certificate}
			config := &tls.Config{GetCertificate: counter.getCertificate}
			addr := tlsServer(t, func() *tls.Config { return config }, echo)
			client := newClient(t, Config{
				Rules:            []Rule{{Trust: trust}},
				SlowStart:        time.Minute,
				HandshakeTimeout: testkit.MaxWait,
				Limits: handshakes.Limits{
					MaxConcurrent:       16,
					MaxPerServer:        3,
					MaxPerWarmingServer: 1,
					MaxQueued:           20,
				},
				CPU: handshakes.NewCPUScheduler(0.5, 1, func() bool { return true }),
			})
			endpoint := router.Endpoint{ID: "s1", Addr: addr}
			if test.warmingUp {
				endpoint.Started = time.Now()
			}
			client.UpdateServer(endpoint)
			succeeded, rejected := handshakeConcurrently(t, client, endpoint, 40)
			if counter.highestConcurrency() > test.maxConcurrent {
				t.Errorf("%d concurrent handshakes, want %d at most", counter.highestConcurrency(), test.maxConcurrent)
			}
			if succeeded < 20 || succeeded+rejected != 40 {
				t.Errorf("%d handshakes succeeded and %d were rejected, want 40 in all, at least 20 successful",
					succeeded, rejected)
			}
			running, queued := client.limiter.Usage()
			if running != 0 || queued != 0 || len(client.admitted) != 0 {
				t.Errorf("%d handshakes run and %d are queued after all have ended", running, queued)
			}
		})
	}
}

// concurrencyCounter counts the concurrent handshakes of a server.
type concurrencyCounter struct {
	certificate tls.Certificate

	mu      sync.Mutex
	running int
	maximum int
}

func (c *concurrencyCounter) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	c.running++
	c.maximum = max(c.maximum, c.running)
	c.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	return &c.certificate, nil
}

func (c *concurrencyCounter) highestConcurrency() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maximum
}

// handshakeConcurrently runs n handshakes at once, and returns the numbers of successful and rejected handshakes.
func handshakeConcurrently(t *testing.T, client *ClientTLS, endpoint router.Endpoint, n int) (succeeded, rejected int) {
	t.Helper()
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for range n {
		tasks.Go(func() {
			conn, err := client.Handshake(t.Context(), t.Context(), &endpoint, true, dialer(endpoint.Addr))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, ErrTooManyHandshakes):
				rejected++
			case err == nil:
				succeeded++
				_ = conn.Close()
			default:
				t.Error(err)
			}
		})
	}
	tasks.Wait()
	return succeeded, rejected
}

// TestUntrustedServer_IsRechecked checks that an untrusted server is rechecked without a request. The server is
// trusted again once it passes verification.
func TestUntrustedServer_IsRechecked(t *testing.T) {
	ca := pki.NewAuthority("ours")
	trust, _ := openTrust(t, ca)
	good := serverConfig(ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS())
	bad := serverConfig(ca.Issue(pki.Leaf{Names: []string{"127.0.0.2"}}).TLS())
	var mu sync.Mutex
	config := bad
	addr := tlsServer(t, func() *tls.Config { mu.Lock(); defer mu.Unlock(); return config }, echo)
	changes := make(chan bool, 10)
	client := newClient(t, Config{
		Rules:         []Rule{{Trust: trust}},
		OnTrustChange: func(_ string, untrusted bool) { changes <- untrusted },
	})
	endpoint := router.Endpoint{ID: "s1", Addr: addr}
	if _, err := connect(t, client, endpoint); err == nil {
		t.Fatal("the handshake succeeded")
	}
	if !testkit.Receive(t, "the notification that the server is untrusted", changes) {
		t.Error("the first notification says that the server is trusted")
	}
	testkit.Await(t, "a failed recheck", func() bool {
		stats := client.Stats()
		return stats.Untrusted == 1 && stats.Servers[0].Rechecks == 1 &&
			stats.Servers[0].UntrustedReason == reasonWrongName
	})
	mu.Lock()
	config = good
	mu.Unlock()
	if testkit.Receive(t, "the notification that the server is trusted", changes) ||
		client.CheckTrusted(&endpoint) != nil {
		t.Error("the server is still untrusted")
	}
	client.RemoveServer(endpoint.ID)
	if len(changes) != 0 || len(client.servers) != 0 {
		t.Errorf("%d unexpected notifications, %d servers kept after removal", len(changes), len(client.servers))
	}
}

package node

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// TestFirstRequest_LongAfterConnect guards against a new connection getting less time to begin than one that has
// carried a request: its first request comes after the time for a head.
func TestFirstRequest_LongAfterConnect(t *testing.T) {
	w := newTestNode(t, 1)
	w.startWithClient()
	client, err := net.Dial("tcp", w.addr)
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
		t.Errorf("got %q, %v", status, err)
	}
}

// TestHead_TimeRunsFromFirstByte guards against a client extending the time for a head by sending on, or by resting
// before it.
func TestHead_TimeRunsFromFirstByte(t *testing.T) {
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
			time.Sleep(2 * headTimeout) // rests, ahead of the first byte
			began := time.Now()
			go func() {
				for range 100 {
					if _, err := client.Write([]byte("G")); err != nil {
						return
					}
					time.Sleep(headTimeout / 10)
				}
			}()
			err := testkit.Receive(t, "the end of the head", readEnded)
			if elapsed := time.Since(began); !errors.Is(err, os.ErrDeadlineExceeded) || elapsed < headTimeout/2 {
				t.Errorf("ended by %v after %v", err, elapsed)
			}
			if got := listener.unansweredCounts(); got.timeouts != 1 {
				t.Errorf("counted %+v", got)
			}
		})
	}
}

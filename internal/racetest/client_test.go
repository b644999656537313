package racetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// oneShotClient opens a connection for each request.
var oneShotClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// requestText is a request as a client sends it. headers are complete lines.
func requestText(id, class, body string, headers ...string) string {
	method := "POST"
	if class == "read" {
		method = "GET"
	}
	if !slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, "X-Deadline-Ms") }) {
		headers = append(headers, "X-Deadline-Ms: 60000")
	}
	if class == "undo" {
		headers = append(headers, "Idempotency-Key: k-"+id)
	}
	if method == "POST" {
		headers = append(headers, "Content-Length: "+strconv.Itoa(len(body)))
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t\r\n",
		method, id, class) + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// clientConn is a client's raw connection to the node.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func newClientConn(t *testing.T, conn net.Conn) *clientConn {
	return &clientConn{conn.(*net.TCPConn), bufio.NewReader(conn), t}
}

// dial opens a connection to the node, which is closed at the latest when the test ends.
func (env *harness) dial() *clientConn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	return newClientConn(env.t, conn)
}

// send writes text, which must succeed.
func (c *clientConn) send(text string) *clientConn {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// readResponse reads a response with its body.
func (c *clientConn) readResponse() (status int, body string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// roundTrip sends a request and reads its response on a connection that the node may have closed.
func (c *clientConn) roundTrip(request string) (status int, body string, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, "", err
	}
	return c.readResponse()
}

// responseStarted tells whether a first byte of a response has arrived.
func (c *clientConn) responseStarted() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err == nil
}

// expectStatus reads a response, which must have the status.
func (c *clientConn) expectStatus(status int) {
	c.t.Helper()
	if got, body, err := c.readResponse(); err != nil || got != status {
		c.t.Errorf("answered %d %q, %v; want %d", got, body, err, status)
	}
}

// close ends the connection by FIN.
func (c *clientConn) close() { _ = c.Close() }

// reset ends the connection by RST.
func (c *clientConn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// request sends a request on a connection of its own, and returns the status of its response.
func (env *harness) request(id, class string) int {
	env.t.Helper()
	client := env.dial()
	defer client.close()
	status, _, err := client.send(requestText(id, class, "")).readResponse()
	if err != nil {
		env.t.Errorf("%s: %v", id, err)
	}
	return status
}

// expectServed sends a request behind all that the node has in flight, and checks that it is served.
func (env *harness) expectServed(id string) {
	env.t.Helper()
	if status := env.request(id, "read"); status != http.StatusOK {
		env.t.Errorf("%s: answered %d", id, status)
	}
}

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

// oneShotClient opens a new connection for each request.
var oneShotClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// requestText returns the text of a request with the given ID, class and body. Each of headers is a complete header
// line without its line break.
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

// clientConn is a raw TCP connection from a client to the node.
type clientConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func newClientConn(t *testing.T, conn net.Conn) *clientConn {
	return &clientConn{conn.(*net.TCPConn), bufio.NewReader(conn), t}
}

// dial opens a connection to the node. The connection is closed when the test ends.
func (env *harness) dial() *clientConn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.addr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	return newClientConn(env.t, conn)
}

// send writes text to the node. A failed write ends the test.
func (c *clientConn) send(text string) *clientConn {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// readResponse reads a response and its body, and returns the response status and the body.
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

// roundTrip sends a request and reads its response. Unlike send, it returns a write error, because the node may have
// closed the connection.
func (c *clientConn) roundTrip(request string) (status int, body string, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, "", err
	}
	return c.readResponse()
}

// responseStarted reports whether the first byte of a response has arrived.
func (c *clientConn) responseStarted() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err == nil
}

// expectStatus reads a response and checks that it has the given status.
func (c *clientConn) expectStatus(status int) {
	c.t.Helper()
	if got, body, err := c.readResponse(); err != nil || got != status {
		c.t.Errorf("response status %d, body %q, error %v; want status %d", got, body, err, status)
	}
}

// close closes the connection with a FIN.
func (c *clientConn) close() { _ = c.Close() }

// reset closes the connection with an RST.
func (c *clientConn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// request sends a request with the given ID and class on a new connection, and returns the response status.
func (env *harness) request(id, class string) int {
	env.t.Helper()
	client := env.dial()
	defer client.close()
	status, _, err := client.send(requestText(id, class, "")).readResponse()
	if err != nil {
		env.t.Errorf("request %s: %v", id, err)
	}
	return status
}

// expectServed sends a request of the class "read" with the given ID, and checks that the node answers with status
// 200.
func (env *harness) expectServed(id string) {
	env.t.Helper()
	if status := env.request(id, "read"); status != http.StatusOK {
		env.t.Errorf("request %s: response status %d, want 200", id, status)
	}
}

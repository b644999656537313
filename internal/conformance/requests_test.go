package conformance

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// testServesEachClass checks that a request of each class is forwarded with its method, path, query, body, ID and
// idempotency key.
func testServesEachClass(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "application/x-test")
		_, _ = fmt.Fprintf(w, "%s %s %s key=%s %s", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"),
			r.Header.Get("Idempotency-Key"), body)
	})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for _, c := range []struct{ method, class, body, want string }{
		{"GET", "read", "", "GET /api/x?q=a%20b r-read key= "},
		{"POST", "pay", "sum", "POST /api/x?q=a%20b r-pay key= sum"},
		{"POST", "undo", "", "POST /api/x?q=a%20b r-undo key=key-r-undo "},
	} {
		resp := do(t, clientRequest(t, node, c.method, c.class, "r-"+c.class, c.body))
		if resp.status != 200 || resp.body != c.want || resp.header.Get("Content-Type") != "application/x-test" {
			t.Errorf("%s: %d %q, header %v", c.class, resp.status, resp.body, resp.header)
		}
	}
}

// invalidRequest is an invalid request and the expected response status.
type invalidRequest struct {
	method, class, body string
	headers             []string
	want                int
}

func invalidRequests() map[string]invalidRequest {
	big := strings.Repeat("x", maxBody+1)
	return map[string]invalidRequest{
		"no id":          {"GET", "read", "", []string{"X-Request-Id", ""}, 400},
		"long id":        {"GET", "read", "", []string{"X-Request-Id", big[:maxID+1]}, 400},
		"spaced id":      {"GET", "read", "", []string{"X-Request-Id", "a b"}, 400},
		"long tenant":    {"GET", "read", "", []string{"X-Tenant", big[:maxID+1]}, 400},
		"no class":       {"GET", "read", "", []string{"X-Class", ""}, 400},
		"unknown class":  {"GET", "read", "", []string{"X-Class", "other"}, 400},
		"no deadline":    {"GET", "read", "", []string{"X-Deadline-Ms", ""}, 400},
		"zero deadline":  {"GET", "read", "", []string{"X-Deadline-Ms", "0"}, 400},
		"minus deadline": {"GET", "read", "", []string{"X-Deadline-Ms", "-5"}, 400},
		"word deadline":  {"GET", "read", "", []string{"X-Deadline-Ms", "soon"}, 400},
		"far deadline":   {"GET", "read", "", []string{"X-Deadline-Ms", "99999999999999999999"}, 400},
		"POST for read":  {"POST", "read", "x", nil, 405},
		"GET for pay":    {"GET", "pay", "", nil, 405},
		"PUT for undo":   {"PUT", "undo", "x", nil, 405},
		"undo, no key":   {"POST", "undo", "x", []string{"Idempotency-Key", ""}, 400},
		"GET with body":  {"GET", "read", "x", nil, 400},
		"big body":       {"POST", "pay", big, nil, 413},
	}
}

// testInvalidRequestsReachNoServer checks that an invalid request gets a 4xx status and reaches no server. The ID of
// the request must stay usable for a valid request.
func testInvalidRequestsReachNoServer(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for name, invalid := range invalidRequests() {
		if b.anyFraming && invalid.want == http.StatusRequestEntityTooLarge {
			testTooLongBodyIsRejectedByLength(t, node, name)
			continue
		}
		req := clientRequest(t, node, invalid.method, invalid.class, "r1", invalid.body, invalid.headers...)
		if resp := do(t, req); resp.status != invalid.want {
			t.Errorf("%s: status %d, want %d", name, resp.status, invalid.want)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	if resp := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.status != 200 {
		t.Errorf("a valid request with the same ID: status %d, want 200", resp.status)
	}
}

// testTooLongBodyIsRejectedByLength checks that node rejects a Content-Length above the maximum before any byte of
// the body arrives. name is the name of the case.
func testTooLongBodyIsRejectedByLength(t *testing.T, node, name string) {
	t.Helper()
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Class: pay\r\nX-Deadline-Ms: 8000\r\n"
	if _, err := fmt.Fprintf(conn, head+"Content-Length: %d\r\n\r\n", 32<<20+1); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 12)
	if _, _ = io.ReadFull(conn, got); string(got) != "HTTP/1.1 413" {
		t.Errorf("%s: response %q, want status 413", name, got)
	}
}

// testRejectionHasRetryAfter checks that a request of a tenant that exceeds its quota is rejected with a Retry-After
// header.
func testRejectionHasRetryAfter(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for i := range 20 {
		resp := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), "", "X-Tenant", "tiny"))
		if resp.status == http.StatusOK {
			continue
		}
		wait, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		if resp.status != http.StatusTooManyRequests || err != nil || wait < 1 {
			t.Errorf("status %d, Retry-After %q; want 429 and at least 1", resp.status, resp.header.Get("Retry-After"))
		}
		return
	}
	t.Error("no request of a tenant with almost no quota was rejected")
}

// testNonIdempotentRequestIsNotRetried checks that a non-idempotent request that may have run is neither retried nor
// answered as rejected.
func testNonIdempotentRequestIsNotRetried(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			reached.Add(1)
		}
	})
	node, _ := b.start(t, testConfig(t, knownList(addr, addr)))
	resp := do(t, clientRequest(t, node, "POST", "pay", "r1", "sum"))
	if s := resp.status; s < 400 || s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable {
		t.Errorf("status %d, want a failure after which the request may have run", s)
	}
	if n := reached.Load(); n != 1 {
		t.Errorf("%d attempts reached the servers, want 1", n)
	}
}

// testMalformedInput checks that the node still serves requests after clients have sent malformed input.
func testMalformedInput(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for _, input := range []string{
		"", "\r\n\r\n", "\x00\x01\x02\r\n\r\n", "GET", "GET / HTTP/9.9\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Deadline-Ms: 9\r\nContent-Length: 5\r\n\r\nab",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20),
	} {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, input) // the node may close the connection before all is written
		_ = conn.(*net.TCPConn).CloseWrite()
		got := readToEnd(t, input, conn)
		if len(got) > 0 && !strings.HasPrefix(got, "HTTP/1.1 4") && !strings.HasPrefix(got, "HTTP/1.1 5") {
			t.Errorf("input %.40q: response %.60q, want a 4xx or 5xx status", input, got)
		}
	}
	if resp := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.status != 200 {
		t.Errorf("a valid request after malformed input: status %d, want 200", resp.status)
	}
}

// smuggledRequest follows the beginning of each text in smugglingRequests. A node that mishandles the beginning
// processes smuggledRequest as a request of its own.
const smuggledRequest = "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: inner\r\nX-Class: read\r\nX-Tenant: t\r\n" +
	"X-Deadline-Ms: 8000\r\n\r\n"

// smugglingRequests returns requests followed by smuggledRequest. The first request has ambiguous, invalid or chunked
// framing, or another error.
func smugglingRequests() map[string]string {
	const (
		post   = "POST /api HTTP/1.1\r\n"
		fields = "Host: a\r\nX-Request-Id: outer\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
		head   = post + fields
	)
	return map[string]string{
		"chunked": strings.Replace(head, "outer", "chunks", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			strings.Replace(smuggledRequest, "Host: a", "Host: a\r\nConnection: close", 1),
		"chunked and length": fmt.Sprintf("%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			head, len(smuggledRequest)+5, smuggledRequest),
		"coding in HTTP/1.0": "POST /api HTTP/1.0\r\n" + fields + "Connection: keep-alive\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n" + smuggledRequest,
		"coding at readiness": "GET " + readyPath + " HTTP/1.1\r\nHost: a\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggledRequest,
		"other coding":    head + "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + smuggledRequest,
		"two lengths":     head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggledRequest,
		"behind an error": post + "Host: a\r\nX-Class: pay\r\nContent-Length: 0\r\n\r\n" + smuggledRequest,
		"bare line feed": "POST /api HTTP/1.1\nHost: a\r\n" + fields + "Content-Length: 0\r\n\r\n" +
			smuggledRequest,
		"bad chunk size": head + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + smuggledRequest,
		"two ids":        head + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n" + smuggledRequest,
	}
}

// testSmuggledRequestsReachNoServer checks that no request from a connection with ambiguous or invalid framing
// reaches a server. net/http ignores Content-Length if the request also has a transfer coding. It then reads a second
// request from the bytes that are the body according to Content-Length.
func testSmuggledRequestsReachNoServer(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	rejection := regexp.MustCompile(`^HTTP/1\.[01] [45]`)
	for name, raw := range smugglingRequests() {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, raw) // the node may close the connection before all is written
		got := readToEnd(t, name, conn)
		if b.anyFraming && name == "chunked" { // the build accepts chunked bodies and pipelined requests
			if n := reached.Swap(0); n != 2 || strings.Count(got, "HTTP/1.1 200") != 2 {
				t.Errorf("%s: %d requests reached the server, response %.120q; want 2", name, n, got)
			}
			continue
		}
		if len(got) > 0 && !rejection.MatchString(got) || strings.Count(got, "HTTP/1.") > 1 {
			t.Errorf("%s: response %.120q, want at most one, with a 4xx or 5xx status", name, got)
		}
		if n := reached.Swap(0); n != 0 {
			t.Errorf("%s: %d requests reached the server, want none", name, n)
		}
	}
}

// readToEnd reads from conn until the node closes it, and then closes conn. It reports an error if the node keeps the
// connection open. input identifies the connection in that error.
func readToEnd(t *testing.T, input string, conn net.Conn) string {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(maxWait))
	got, err := io.ReadAll(conn)
	_ = conn.Close()
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("input %.40q: the node did not close the connection", input)
	}
	return string(got)
}

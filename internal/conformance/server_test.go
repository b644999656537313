// Package conformance holds the daemon's suite, which runs unchanged over every build that serves
// clients: the daemon, the net/http middleware and the gin middleware.
package conformance

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// A request goes through the whole node and back, in each class's form.
func testServesEachClass(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "application/x-test")
		fmt.Fprintf(w, "%s %s %s key=%s %s", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"),
			r.Header.Get("Idempotency-Key"), body)
	})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for _, c := range []struct{ method, class, body, want string }{
		{"GET", "read", "", "GET /api/x?q=a%20b r-read key= "},
		{"POST", "pay", "sum", "POST /api/x?q=a%20b r-pay key= sum"},
		{"POST", "undo", "", "POST /api/x?q=a%20b r-undo key=key-r-undo "},
	} {
		resp, body := do(t, clientRequest(t, node, c.method, c.class, "r-"+c.class, c.body))
		if resp.StatusCode != 200 || body != c.want || resp.Header.Get("Content-Type") != "application/x-test" {
			t.Errorf("%s: %d %q, header %v", c.class, resp.StatusCode, body, resp.Header)
		}
	}
}

// What is wrong with a request is the client's fault, promises nothing, and reaches no server.
func testBadRequestsReachNoServer(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	big := strings.Repeat("x", maxBody+1)
	for name, c := range map[string]struct {
		method, class, body string
		headers             []string
		want                int
	}{
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
	} {
		if b.long && c.want == 413 { // a length says it: not a byte of the body is waited for
			nc, err := net.Dial("tcp", node)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(nc, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Class: pay\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", 32<<20+1)
			got := make([]byte, 12)
			_, _ = io.ReadFull(nc, got)
			if nc.Close(); string(got) != "HTTP/1.1 413" {
				t.Errorf("%s: %q", name, got)
			}
			continue
		}
		resp, _ := do(t, clientRequest(t, node, c.method, c.class, "r1", c.body, c.headers...))
		if resp.StatusCode != c.want {
			t.Errorf("%s: %d, want %d", name, resp.StatusCode, c.want)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	if resp, _ := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
		t.Errorf("a good request with that id afterwards: %d", resp.StatusCode)
	}
}

// A tenant past its share is told at once when to come back.
func testRefusalSaysWhenToComeBack(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for i := range 20 {
		resp, _ := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), "", "X-Tenant", "tiny"))
		if resp.StatusCode == http.StatusOK {
			continue
		}
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusTooManyRequests || err != nil || wait < 1 {
			t.Errorf("%d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		return
	}
	t.Error("a tenant with next to no share was never refused")
}

// An unsafe request that may have run is neither sent again nor refused.
func testUnsafeRequestThatMayHaveRunFails(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			reached.Add(1)
		}
	})
	node, _ := b.start(t, testConfig(t, knownList(addr, addr)))
	resp, _ := do(t, clientRequest(t, node, "POST", "pay", "r1", "sum"))
	if s := resp.StatusCode; s < 400 || s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable {
		t.Errorf("status %d, want a failure that promises nothing", s)
	}
	if n := reached.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// An attempt is called off once its client has left.
func testDepartureIsTold(t *testing.T, b build) {
	got, closed := make(chan struct{}), make(chan struct{})
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(got)
		<-r.Context().Done()
		close(closed)
	})
	conf := testConfig(t, knownList(addr))
	for i := range conf.Settings.Classes { // the deadline is far off, so that nothing else ends the attempt
		conf.Settings.Classes[i].Deadline = time.Hour
	}
	node, _ := b.start(t, conf)
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	if err := clientRequest(t, node, "POST", "pay", "r1", "sum", "X-Deadline-Ms", "3600000").Write(c); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the attempt", got)
	c.Close()
	testkit.Receive(t, "its end", closed)
}

// Clients who connect and say nothing, or keep what they don't use, keep nobody out, and what is
// closed to make room had no request in it.
func testQuietConnectionsMakeRoom(t *testing.T, b build) {
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	c := testConfig(t, knownList(addr))
	c.MaxDescriptors = leastSockets
	node, _ := b.start(t, c)
	slow := make(chan int, 1)
	go func() {
		resp, err := fresh().Do(clientRequest(t, node, "GET", "read", "slow", ""))
		if err != nil {
			slow <- 0
			return
		}
		resp.Body.Close()
		slow <- resp.StatusCode
	}()
	testkit.Receive(t, "the slow request", held)
	most := mostClients
	var silent []net.Conn
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	for i := range 3 * most {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
		if i%2 == 0 { // asks once, and keeps its connection
			if err := clientRequest(t, node, "GET", "read", fmt.Sprint("once", i), "").Write(c); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("request %d: %v, %v", i, resp, err)
			}
		}
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(headerTimeout / 2))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection quiet for longest is still open: %v", err)
	}
	close(hold)
	if status := testkit.Receive(t, "the slow answer", slow); status != 200 {
		t.Errorf("the request that was open: %d", status)
	}
}

// A client that is bad gets an answer or a close soon, and one that waits for an answer is not cut off
// by the time that a request may take to come.
func testTimeOutsBindRequestsOnly(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { time.Sleep(headerTimeout + 200*time.Millisecond) })
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
	ended := make(chan string, 10)
	bad := []string{"", "POST /api HT", head, "GET " + readyPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", head + "Content-Length: 10\r\n\r\nabc", head + "Content-Length: 60000000\r\n\r\nabc"}
	for i, raw := range bad {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if strings.Contains(raw, "%d") {
			raw = fmt.Sprintf(raw, i)
		}
		_, _ = io.WriteString(c, raw)
		go func() {
			got, _ := io.ReadAll(c)
			ended <- string(got)
		}()
	}
	resp, _ := do(t, clientRequest(t, node, "POST", "pay", "good", "sum"))
	if resp.StatusCode != http.StatusOK {
		t.Errorf("the good client: %d", resp.StatusCode)
	}
	for range bad {
		if got := testkit.Receive(t, "the end of a bad client's connection", ended); got != "" && !strings.HasPrefix(got, "HTTP/1.1 4") {
			t.Errorf("answered %.80q", got)
		}
	}
}

// A node that is told to stop takes in what comes for a while, answers what it holds, and ends.
func testStopsInOrder(t *testing.T, b build) {
	hold, held := make(chan struct{}), make(chan struct{}, 2)
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	node, stop := b.start(t, testConfig(t, knownList(addr)))
	keep := &http.Client{Transport: &http.Transport{}} // keeps its connections
	defer keep.CloseIdleConnections()
	type answer struct {
		status int
		ends   bool // its connection
	}
	slow := make(chan answer, 1)
	go func() {
		resp, err := keep.Do(clientRequest(t, node, "GET", "read", "slow", ""))
		if err != nil {
			slow <- answer{}
			return
		}
		resp.Body.Close()
		slow <- answer{resp.StatusCode, resp.Close}
	}()
	testkit.Receive(t, "the slow request", held)
	ended, began := make(chan error, 1), time.Now()
	go func() { ended <- stop() }()
	testkit.Await(t, "a node that isn't ready", func() bool {
		resp, err := fresh().Get("http://" + node + readyPath)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	// There may be no other node yet: who is here is served, and keeps the connection.
	resp, err := keep.Do(clientRequest(t, node, "GET", "read", "late", ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("a request to a node that stops: %d, ends its connection: %v", resp.StatusCode, resp.Close)
	}
	testkit.Await(t, "the end of accepting", func() bool {
		c, err := net.Dial("tcp", node)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if took := time.Since(began); took < 400*time.Millisecond {
		t.Errorf("accepted for %v only: clients still come then", took)
	}
	select {
	case err := <-ended:
		t.Fatalf("ended with a request open: %v", err)
	default:
	}
	close(hold)
	if a := testkit.Receive(t, "the slow answer", slow); a.status != 200 || !a.ends {
		t.Errorf("the request that was open: %d, ends its connection: %v", a.status, a.ends)
	}
	if err := testkit.Receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}

// No input panics the node: after noise of each kind it still serves.
func testNoiseFromClients(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	for _, noise := range []string{
		"", "\r\n\r\n", "\x00\x01\x02\r\n\r\n", "GET", "GET / HTTP/9.9\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Deadline-Ms: 9\r\nContent-Length: 5\r\n\r\nab",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20),
	} {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, noise) // the node may close before all is written
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(long))
		got, err := io.ReadAll(c)
		c.Close()
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			t.Errorf("%.40q: the connection stays open", noise)
		}
		if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") && !strings.HasPrefix(string(got), "HTTP/1.1 5") {
			t.Errorf("%.40q: answered %.60q", noise, got)
		}
	}
	if resp, _ := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// net/http drops Content-Length where a transfer coding is given too, and reads a request out of what
// the other length calls the body. Nothing of such a connection may reach a server.
func testHiddenRequestsReachNoServer(t *testing.T, b build) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	refusal := regexp.MustCompile(`^HTTP/1\.[01] [45]`)
	head := "Host: a\r\nX-Request-Id: outer\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
	hidden := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: inner\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"
	for name, raw := range map[string]string{
		"chunked": "POST /api HTTP/1.1\r\n" + strings.Replace(head, "outer", "chunks", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			strings.Replace(hidden, "Host: a", "Host: a\r\nConnection: close", 1),
		"chunked and length": fmt.Sprintf("POST /api HTTP/1.1\r\n%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			head, len(hidden)+5, hidden),
		"coding in HTTP/1.0":  "POST /api HTTP/1.0\r\n" + head + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"coding at readiness": "GET " + readyPath + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"other coding":        "POST /api HTTP/1.1\r\n" + head + "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + hidden,
		"two lengths":         "POST /api HTTP/1.1\r\n" + head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"behind an error":     "POST /api HTTP/1.1\r\nHost: a\r\nX-Class: pay\r\nContent-Length: 0\r\n\r\n" + hidden,
		"bare line feed":      "POST /api HTTP/1.1\nHost: a\r\n" + head + "Content-Length: 0\r\n\r\n" + hidden,
		"bad chunk size":      "POST /api HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + hidden,
		"two ids":             "POST /api HTTP/1.1\r\n" + head + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n" + hidden,
	} {
		c, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, raw)
		_ = c.SetReadDeadline(time.Now().Add(long))
		got, err := io.ReadAll(c)
		c.Close()
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		if b.long && name == "chunked" { // what is behind the last chunk is a request of its own, and not hidden
			if n := reached.Swap(0); n != 2 || strings.Count(string(got), "HTTP/1.1 200") != 2 {
				t.Errorf("%s: %d requests reached the server, answered %.120q", name, n, got)
			}
			continue
		}
		if len(got) > 0 && !refusal.Match(got) || strings.Count(string(got), "HTTP/1.") > 1 {
			t.Errorf("%s: answered %.120q", name, got)
		}
		if n := reached.Swap(0); n != 0 {
			t.Errorf("%s: %d requests reached the server", name, n)
		}
	}
}

// TestSuite runs every case over every build. The cases wait more than they work, so they run side by
// side.
func TestSuite(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testing.T, build)
	}{
		{"ServesEachClass", testServesEachClass},
		{"BadRequestsReachNoServer", testBadRequestsReachNoServer},
		{"RefusalSaysWhenToComeBack", testRefusalSaysWhenToComeBack},
		{"UnsafeRequestThatMayHaveRunFails", testUnsafeRequestThatMayHaveRunFails},
		{"DepartureIsTold", testDepartureIsTold},
		{"QuietConnectionsMakeRoom", testQuietConnectionsMakeRoom},
		{"TimeOutsBindRequestsOnly", testTimeOutsBindRequestsOnly},
		{"StopsInOrder", testStopsInOrder},
		{"NoiseFromClients", testNoiseFromClients},
		{"HiddenRequestsReachNoServer", testHiddenRequestsReachNoServer},
	}
	for _, b := range builds {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for _, c := range cases {
				t.Run(c.name, func(t *testing.T) {
					if why := b.except[c.name]; why != "" {
						t.Skip(why)
					}
					t.Parallel()
					c.run(t, b)
				})
			}
		})
	}
}

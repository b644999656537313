package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
)

// long is more than any step of a test takes; nothing waits for it unless the test fails.
const long = 30 * time.Second

const testSettings = `{"position":0,"groupSize":1,"zone":"a",
	"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"},
		{"name":"pay","aim":4000,"deadline":9000,"repeat":"single_shot"},
		{"name":"undo","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000}],
	"tenants":[{"name":"t","quotaRps":1000},{"name":"tiny","quotaRps":0.001}],
	"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"maxOpen":100,
		"retryAfter":true,"secondCopies":true},
	"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`

func testConfig(t *testing.T, known string) Config {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, known, testSettings)
	c, err := parseConfig([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// knownList is a complete list of the servers at the addresses, named s0, s1 and so on.
func knownList(addrs ...string) string {
	var entries []string
	for i, a := range addrs {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}`, i, a))
	}
	return fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(entries, ","))
}

func members(t *testing.T, addrs ...string) []member {
	t.Helper()
	l, err := parseList([]byte(knownList(addrs...)))
	if err != nil {
		t.Fatal(err)
	}
	return l.Members
}

// rawServer runs a server of one's own at the level of the connection.
func rawServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// swallow reads a request to its last byte.
func swallow(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func httpServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func testExchange(method, id string, body string) *exchange {
	x := &exchange{req: policy.Request{ID: id, Class: "read", Tenant: "t"}, method: method,
		url: &url.URL{Path: "/api", RawQuery: "q=a%20b"}, host: "origin.svc", body: []byte(body),
		came: timeOrigin, clientWaits: long, reply: make(chan answer, 1)}
	if method == http.MethodPost {
		x.key = "k-" + id
	}
	return x
}

// startNode runs a whole node, and returns its address and a function that stops it as SIGTERM does
// and returns what Run did.
func startNode(t *testing.T, c Config) (addr string, stop func() error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, c, ln, nil) }()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		select {
		case err := <-ended:
			return err
		case <-time.After(long):
			return fmt.Errorf("the node did not end")
		}
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	addr = ln.Addr().String()
	await(t, "readiness", func() bool {
		resp, err := http.Get("http://" + addr + readyPath)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return addr, stop
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(long); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func receive[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(long):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// clientRequest is one as clients send it; headers are pairs, and an empty value takes one out.
func clientRequest(t *testing.T, addr, method, class, id, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/api/x?q=a%20b", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "origin.svc"
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "8000"} {
		req.Header.Set(k, v)
	}
	if class == "undo" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req
}

func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const long = 30 * time.Second // more than any step takes; nothing waits for it unless the test fails

// agent is a discovery that has no servers to tell of, and passes on each query.
func agent(t *testing.T) (addr string, queries chan string) {
	queries = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"revision":3,"complete":true,"members":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), queries
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

// SIGHUP moves discovery to what the file names then, also where ROUTER_DISCOVERY said otherwise at
// the start; a file that can't be read changes nothing; SIGTERM still ends the program in order.
func TestReload(t *testing.T) {
	first, atFirst := agent(t)
	second, atSecond := agent(t)
	third, atThird := agent(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, listen, discovery)
	}
	write(config(first))
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", first)
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	if q := receive(t, "the first call", atFirst); q != "index=1&wait=5000" {
		t.Errorf("first call: %q", q)
	}
	write(config(second))
	signal(syscall.SIGHUP)
	if q := receive(t, "the call at the second address", atSecond); q != "" {
		t.Errorf("asks for %q, not for the whole list", q)
	}
	write(`{"discovery":`)
	signal(syscall.SIGHUP)
	write(config(third))
	signal(syscall.SIGHUP)
	signal(syscall.SIGHUP)
	receive(t, "the call at the third address", atThird)
	resp, err := http.Get("http://" + listen + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after the reloads: %v, %v", resp, err)
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP) // harmless during a drain
	if err := receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
	select {
	case q := <-atFirst:
		t.Errorf("the first address was called again: %q", q)
	default:
	}
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["lost-cells"] = lostCells
}

// keyedServer runs keyed requests. It drops repeats of a key that its own cell has seen. With reset set, it runs each
// request and then resets the connection in place of an answer.
func (w *world) keyedServer(name, host string, reset bool, ran func(server, key string)) string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		w.fail("%v", err)
	}
	var mu sync.Mutex
	seen := make(map[string]bool)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			key := req.Header.Get("Idempotency-Key")
			mu.Lock()
			repeat := seen[key]
			seen[key] = true
			mu.Unlock()
			if !repeat {
				ran(name, key)
			}
			if !reset {
				_, _ = fmt.Fprintf(out, "done by %s", name)
				return
			}
			if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}))
	}()
	return listener.Addr().String()
}

// lostCells: a keyed class whose repeats are dropped within a cell. Discovery tells the cells; the control plane tells
// when the servers started, and nothing of cells. The server of one cell runs requests and resets their connections.
func lostCells(w *world) verdict {
	var mu sync.Mutex
	runs := make(map[string][]string)
	ran := func(server, key string) {
		mu.Lock()
		defer mu.Unlock()
		runs[key] = append(runs[key], server)
	}
	a := w.keyedServer("s1", "127.0.0.2", w.trouble, ran)
	b := w.keyedServer("s2", "127.0.0.3", false, ran)
	listed := []member{up("s1", a), up("s2", b)}
	listed[0].Cell, listed[1].Cell = 1, 2
	discovery := w.newRegistry(listed...)
	_, addr := w.startControlPlane("", fmt.Sprintf(
		"cluster rooms\nendpoints rooms %s/started=%d,zone=z1 %s/started=%d,zone=z1\npush\n", a, longAgo, b, longAgo))
	listen := w.freeAddr("127.0.0.1")
	node := w.startNode("node", nodeConfig{
		listen: listen, discovery: discovery.addr, known: listed, own: fmt.Sprintf("[xds]\nbootstrap = %q\n", w.bootstrap(addr)),
	})
	w.await("the node is connected", 20*time.Second, func() bool {
		return contains(node.output(), "xds: connected to the control plane")
	})
	time.Sleep(time.Second)
	for i := range 40 {
		key := fmt.Sprintf("key-%d", i)
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/api", strings.NewReader("cancel"))
		req.Header = http.Header{
			"X-Request-Id": {newID(fmt.Sprintf("r%d", i))}, "X-Class": {"cancel"}, "X-Tenant": {"desk"},
			"X-Deadline-Ms": {"2000"}, "Idempotency-Key": {key},
		}
		outcome := ""
		if resp, err := http.DefaultClient.Do(req); err != nil {
			outcome = err.Error()
		} else {
			outcome = resp.Status
			_ = resp.Body.Close()
		}
		mu.Lock()
		w.note("%s: answered %s, run by %v", key, outcome, runs[key])
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, servers := range runs {
		if len(servers) > 1 {
			twice++
		}
	}
	w.note("%d of %d requests ran twice", twice, len(runs))
	if twice > 0 {
		return broken
	}
	return held
}

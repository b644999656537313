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

// cell has the keys that its servers have seen.
type cell struct {
	mu   sync.Mutex
	seen map[string]bool
}

// keyedServer runs keyed requests. It drops repeats of a key that its cell has seen. With resets set, it runs nine of ten
// requests and then resets the connection in place of an answer.
func (w *world) keyedServer(name, host string, resets bool, home *cell, ran func(server, key string)) string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		w.fail("%v", err)
	}
	count := 0
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			key := req.Header.Get("Idempotency-Key")
			home.mu.Lock()
			repeat := home.seen[key]
			home.seen[key] = true
			count++
			reset := resets && count%10 != 0
			home.mu.Unlock()
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
// when the servers started, and nothing of cells. One of six servers runs requests and resets nine in ten connections.
func lostCells(w *world) verdict {
	var mu sync.Mutex
	runs := make(map[string][]string)
	ran := func(server, key string) {
		mu.Lock()
		defer mu.Unlock()
		runs[key] = append(runs[key], server)
	}
	cells := [2]*cell{{seen: make(map[string]bool)}, {seen: make(map[string]bool)}}
	var listed []member
	script := "cluster rooms\nendpoints rooms"
	for i := range 6 {
		name, number := fmt.Sprintf("s%d", i+1), i%2+1
		m := up(name, w.keyedServer(name, fmt.Sprintf("127.0.0.%d", i+2), w.trouble && i == 0, cells[number-1], ran))
		m.Cell = number
		listed = append(listed, m)
		script += fmt.Sprintf(" %s/started=%d,zone=z1", m.HostPort, longAgo)
		w.note("server %s of cell %d at %s", name, number, m.HostPort)
	}
	discovery := w.newRegistry(listed...)
	_, addr := w.startControlPlane("", script+"\npush\n")
	listen := w.freeAddr("127.0.0.1")
	node := w.startNode("node", nodeConfig{
		listen: listen, discovery: discovery.addr, known: listed, own: fmt.Sprintf("[xds]\nbootstrap = %q\n", w.bootstrap(addr)),
	})
	w.await("the node is connected", 20*time.Second, func() bool {
		return contains(node.output(), "xds: connected to the control plane")
	})
	time.Sleep(time.Second)
	for i := range 120 {
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

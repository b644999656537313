package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is the agent on the node's machine to which the list of servers is pushed. It answers watches as PROTOCOL
// describes: at once with what is newer, else after the wait.
type agent struct {
	listener net.Listener

	mu       sync.Mutex
	revision int
	members  []object
}

func startAgent(members []object) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{listener: ln, revision: 41, members: members}
	go func() { _ = http.Serve(ln, http.HandlerFunc(a.serve)) }()
	return a, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) list() object {
	a.mu.Lock()
	defer a.mu.Unlock()
	return object{"revision": a.revision, "complete": true, "members": a.members}
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	list := a.list()
	if index := r.URL.Query().Get("index"); index != "" {
		have, _ := strconv.Atoi(index)
		if have >= list["revision"].(int) {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
			select {
			case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			list = object{"revision": have, "complete": false, "members": []object{}}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func member(id, addr string) object {
	return object{"id": id, "host_port": addr, "locality": "bystrica", "flavor": "vykonny-4j", "cell": 1, "phase": "up",
		"size": 1.0, "up_since_ms": 0}
}

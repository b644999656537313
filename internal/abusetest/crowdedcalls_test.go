package abusetest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cobaltward/msgpackrpc"
)

// TestCalls_CrowdedConnections guards against calls that wait unread in the accept queue while all connections are busy
// with calls that servers leave open: each gets its answer in time.
func TestCalls_CrowdedConnections(t *testing.T) {
	const clients, timeout = 150, 1500 * time.Millisecond
	for _, front := range []string{frontHTTP, frontTLS} {
		t.Run(front, func(t *testing.T) {
			runParallel(t)
			hanging := startServer(t, func(s *server) { s.serviceTime = 3 * timeout })
			n := startNode(t, nodeConfig{
				memoryMB: smallMemoryMB, descriptors: maxDescriptors, servers: []string{hanging.addr}, tls: front == frontTLS,
				msgpack: true,
			})
			var mu sync.Mutex
			outcomes := make(map[string]int)
			var running sync.WaitGroup
			done := make(chan struct{})
			for i := range clients {
				running.Go(func() {
					outcome := n.callOnce(i, timeout, done)
					mu.Lock()
					outcomes[outcome]++
					mu.Unlock()
				})
			}
			time.AfterFunc(3*timeout, func() { close(done) })
			running.Wait()
			t.Logf("%v", outcomes)
			if outcomes["answered"] != clients {
				t.Errorf("%v, want %d answered", outcomes, clients)
			}
		})
	}
}

// callOnce makes one call on a new connection, which stays open until done is closed. It returns how the call ended.
func (n *node) callOnce(number int, timeout time.Duration, done <-chan struct{}) string {
	conn, err := n.dialAddr(n.msgpackAddr, 0)
	if err != nil {
		return fmt.Sprint("dial: ", err)
	}
	defer func() { _ = conn.Close() }()
	frame := msgpackrpc.AppendCall(nil, 1, &msgpackrpc.Call{
		ID: fmt.Sprint("crowd-", number), Class: searchClass, Tenant: "t", Timeout: timeout,
	})
	if _, err := conn.Write(frame); err != nil {
		return fmt.Sprint("write: ", err)
	}
	written := time.Now()
	_ = conn.SetReadDeadline(written.Add(timeout + lateAfter))
	if _, err := msgpackrpc.NewReader(conn).Next(); err != nil {
		return fmt.Sprint("read: ", err)
	}
	<-done
	return "answered"
}

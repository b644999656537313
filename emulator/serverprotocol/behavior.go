// Package serverprotocol serves an emulated server over the protocols that nodes use. The protocols are
// MessagePack-RPC and HTTP/1.1 with headers such as X-Request-Id and X-Not-Run.
package serverprotocol

import (
	"fmt"
	"net"
	"strings"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
)

// WorkFunc returns the work of the request with the given path and ID. The work is in seconds of a core of speed 1.
type WorkFunc func(target, id string) float64

// Behavior defines how the server handles one request. The zero value answers without work.
type Behavior struct {
	Work         float64       // seconds of a core of speed 1
	ID           string        // ID in the record of executions; empty: ID of the request
	Key          string        // idempotency key; empty: key of the request
	NetworkDelay time.Duration // delay in each direction
	Fail         bool          // answer with an error, even if the request was executed
	Hang         bool          // read the request but never answer
	Reset        bool          // reset the connection after the last byte of the request; the request still runs
	Truncate     bool          // close the connection in the middle of the answer
	Malform      bool          // send an answer with invalid framing
}

// BehaviorFunc returns the behavior for a request from the request's path and ID. It is called after the request's
// last byte has arrived.
type BehaviorFunc func(target, id string) Behavior

// Options configure a protocol server.
type Options struct {
	Behavior   BehaviorFunc
	OnRejected func(id string) // called for each request that the server rejects; nil: not called
	LoadFields []string        // values of the load report in answers: inflight, queue, util; nil: no report
}

// loadReport returns the load report of a server in the format of X-Load.
func (o *Options) loadReport(backend *servermodel.Server) string {
	if len(o.LoadFields) == 0 {
		return ""
	}
	inflight, queue, util := backend.Load()
	var parts []string
	for _, name := range o.LoadFields {
		switch name {
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%d", inflight))
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%d", queue))
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.2f", util))
		}
	}
	return strings.Join(parts, ",")
}

// notifyRejected calls OnRejected if the server rejected the request.
func (o *Options) notifyRejected(id string, admission model.Admission) {
	if admission == model.Rejected && o.OnRejected != nil {
		o.OnRejected(id)
	}
}

// plainBehavior returns a function that does the work of each request. A request fails if fails isn't nil and
// returns true.
func plainBehavior(work WorkFunc, fails func() bool) BehaviorFunc {
	return func(target, id string) Behavior {
		behavior := Behavior{Work: work(target, id)}
		if behavior.Fail = fails != nil && fails(); behavior.Fail {
			behavior.Work = 0
		}
		return behavior
	}
}

// request returns the model's form of a request. id and key are the request's own ID and idempotency key.
func (b *Behavior) request(id, key string) model.Request {
	request := model.Request{ID: b.ID, Key: b.Key, Work: b.Work}
	if request.ID == "" {
		request.ID = id
	}
	if request.Key == "" {
		request.Key = key
	}
	return request
}

// reset closes a connection with a TCP reset, like the operating system when a process ends.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// sleep waits for d. It returns false if cancelled is closed first.
func sleep(d time.Duration, cancelled <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return false
	}
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["split-messages"] = splitMessages }

const (
	callInterval = 100 * time.Millisecond // between two calls of the client
	callCount    = 90
	serviceTime  = 400 * time.Millisecond
	// takenBefore is how long before the end of a connection the last byte of a call must have been written for the
	// call to count as taken. A call that crosses the end of its connection is not judged.
	takenBefore = 50 * time.Millisecond
)

// rpcCall is one call of the client.
type rpcCall struct {
	request
	msgid   uint32
	written time.Time // when its last byte was written; zero: not written whole
	reply   string    // empty: none
	conn    *rpcConn
}

// rpcConn is one connection of the client.
type rpcConn struct {
	net.Conn
	opened time.Time
	ended  time.Time // when the node ended it; zero: open
}

// rpcClient is a MessagePack-RPC client that has many calls open on one connection, and opens another one when the
// node ends it. It never leaves and never cancels.
type rpcClient struct {
	w      *world
	addr   string
	mu     sync.Mutex
	conn   *rpcConn
	calls  map[uint32]*rpcCall
	closed int // connections that the node has ended
}

func (c *rpcClient) connection() (*rpcConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.ended.IsZero() {
		return c.conn, nil
	}
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return nil, err
	}
	conn := &rpcConn{Conn: nc, opened: time.Now()}
	c.conn = conn
	c.w.rec.printf("client: connected")
	go c.read(conn)
	return conn, nil
}

// read handles the messages of the node until the connection ends.
func (c *rpcClient) read(conn *rpcConn) {
	in := bufio.NewReader(conn)
	for {
		value, err := unpack(in)
		if err != nil {
			c.mu.Lock()
			conn.ended = time.Now()
			c.closed++
			c.mu.Unlock()
			c.w.rec.printf("client: the node ended the connection %v after it was opened: %v",
				time.Since(conn.opened).Round(time.Millisecond), err)
			_ = conn.Close()
			return
		}
		list, ok := value.([]any)
		if !ok || len(list) != 4 || list[0] != 1 {
			c.w.rec.printf("client: notification %v", value)
			continue
		}
		msgid, _ := list[1].(int)
		c.mu.Lock()
		if call := c.calls[uint32(msgid)]; call != nil {
			call.reply = "served"
			if list[2] != nil {
				call.reply = fmt.Sprint(list[2])
			}
			c.w.rec.printf("client: %s %s answered: %s", call.class, call.id, call.reply)
		}
		c.mu.Unlock()
	}
}

// splitMessages has one client make a call every 100 ms over MessagePack-RPC. Every message takes at most 100 ms from
// its first byte to its last. With trouble, a write carries the second half of a message and the first half of the
// next one; without, a write carries one message.
func splitMessages(w *world) (verdict, error) {
	var members []object
	var servers []*server
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return verdict{}, err
		}
		id := fmt.Sprintf("s-%d", i+1)
		var s *server
		ready := make(chan struct{})
		s = startServer(ln, func(conn net.Conn, r arrival) {
			<-ready
			time.Sleep(serviceTime)
			w.rec.printf("%s ran %s (time %d)", id, r.id, s.run(r.id))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.id), r.id)
		})
		close(ready)
		servers = append(servers, s)
		members = append(members, member(id, ln.Addr().String()))
	}
	platform, err := startAgent(members)
	if err != nil {
		return verdict{}, err
	}
	rpcAddr, err := freePort()
	if err != nil {
		return verdict{}, err
	}
	own := filepath.Join(w.dir, "wayhold.toml")
	if err := os.WriteFile(own, fmt.Appendf(nil, "[msgpack]\nlisten = %q\n", rpcAddr), 0o600); err != nil {
		return verdict{}, err
	}
	n, err := startNode(w.root, w.dir, platform.addr(), platform.list(), own)
	if err != nil {
		return verdict{}, err
	}

	client := &rpcClient{w: w, addr: rpcAddr, calls: make(map[uint32]*rpcCall)}
	var all []*rpcCall
	var pending []byte // first half of the next message, already written: its second half
	var partial *rpcCall
	var partialConn *rpcConn
	for i := range callCount {
		conn, err := client.connection()
		if err != nil {
			return verdict{}, err
		}
		if conn != partialConn { // what was half written is gone with its connection
			pending, partial = nil, nil
		}
		class := classes[i%2]
		call := &rpcCall{
			request: request{
				id: fmt.Sprintf("call-%04d-%08x", i, i*104729), class: class.name, body: "{}",
				deadline: time.Duration(class.deadline) * time.Millisecond,
			},
			msgid: uint32(i + 1), conn: conn,
		}
		all = append(all, call)
		client.mu.Lock()
		client.calls[call.msgid] = call
		client.mu.Unlock()
		frame := packCall(call.msgid, call.request)
		whole, first, rest := call, frame, []byte(nil)
		if w.trouble && i < callCount-1 {
			first, rest = frame[:len(frame)/2], frame[len(frame)/2:]
			whole = partial
		}
		_, err = conn.Write(append(pending, first...))
		now := time.Now()
		switch {
		case whole == nil:
			w.rec.printf("client: wrote the first half of %s %s, error %v", call.class, call.id, err)
		case whole == call:
			w.rec.printf("client: wrote the last byte of %s %s, error %v", call.class, call.id, err)
		default:
			w.rec.printf("client: wrote the last byte of %s %s and the first half of %s %s, error %v",
				whole.class, whole.id, call.class, call.id, err)
		}
		client.mu.Lock()
		if err == nil && whole != nil {
			whole.written = now
		}
		if err == nil && partial != nil {
			partial.written = now
		}
		client.mu.Unlock()
		pending, partial, partialConn = rest, call, conn
		if rest == nil {
			partial = nil
		}
		time.Sleep(callInterval)
	}
	time.Sleep(4 * time.Second) // longer than the longest deadline and half a second
	if err := n.running(); err != nil {
		return verdict{}, err
	}

	client.mu.Lock()
	defer client.mu.Unlock()
	var result verdict
	served, unjudged, runs := 0, 0, 0
	for _, call := range all {
		switch {
		case call.reply != "":
			served++
		case call.written.IsZero(), !call.conn.ended.IsZero() && call.conn.ended.Sub(call.written) < takenBefore:
			unjudged++
		default:
			for _, s := range servers {
				s.mu.Lock()
				runs += s.runs[call.id]
				s.mu.Unlock()
			}
			result.broken = append(result.broken, fmt.Sprintf(
				"%s %s: its last byte was written %v before the node ended the connection, and it was never answered (time to wait: %v)",
				call.class, call.id, call.conn.ended.Sub(call.written).Round(time.Millisecond), call.deadline))
		}
	}
	result.summary = fmt.Sprintf(
		"%d calls, %d answered, %d not judged (not written whole, or crossed the end), %d taken and never answered (%d of these were run); the node ended %d connections",
		callCount, served, unjudged, len(result.broken), runs, client.closed)
	return result, nil
}

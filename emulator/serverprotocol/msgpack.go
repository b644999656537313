package serverprotocol

import (
	"bytes"
	"errors"
	"net"
	"sync"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/msgpackrpc"
)

// MsgpackServer serves an emulated server over MessagePack-RPC. docs/msgpack-rpc.md describes the protocol for app
// servers.
type MsgpackServer struct {
	Addr string

	backend  *servermodel.Server
	options  Options
	listener net.Listener
	tasks    sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// ServeMsgpack serves a backend on a listener until Close is called. Close doesn't stop the backend.
func ServeMsgpack(ln net.Listener, backend *servermodel.Server, work WorkFunc) *MsgpackServer {
	return ServeMsgpackWithOptions(ln, backend, Options{Behavior: plainBehavior(work, nil)})
}

// ServeMsgpackWithOptions is ServeMsgpack with a separate behavior for each call, selected by options.
func ServeMsgpackWithOptions(ln net.Listener, backend *servermodel.Server, options Options) *MsgpackServer {
	s := &MsgpackServer{
		Addr: ln.Addr().String(), backend: backend, options: options, listener: ln, conns: make(map[net.Conn]bool),
	}
	s.tasks.Go(s.accept)
	return s
}

// accept serves the connections of the listener until Close closes the listener.
func (s *MsgpackServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = conn.Close()
		}
		s.conns[conn] = true
		s.mu.Unlock()
		s.tasks.Go(func() {
			s.serveConn(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// msgpackConn is one connection with its pending calls.
type msgpackConn struct {
	net.Conn
	server *MsgpackServer
	calls  sync.WaitGroup
	writes sync.Mutex // serializes replies

	mu      sync.Mutex
	pending map[uint32]chan struct{} // channel of each call, by call ID; closed when the call is cancelled
}

// serveConn reads calls until the connection ends. Calls run concurrently. Each call is answered when it completes.
func (s *MsgpackServer) serveConn(conn net.Conn) {
	if !s.backend.Connect() {
		reset(conn)
		return
	}
	defer s.backend.Disconnect()
	c := &msgpackConn{Conn: conn, server: s, pending: make(map[uint32]chan struct{})}
	defer c.calls.Wait()
	defer c.cancelAll()
	defer func() { _ = conn.Close() }()
	reader := msgpackrpc.NewReader(conn)
	for {
		raw, err := reader.Next()
		if err != nil {
			return
		}
		message, err := msgpackrpc.Parse(raw)
		if err != nil || !c.receive(&message) {
			return
		}
	}
}

// receive handles one message. It returns false if the message's parameters are invalid.
func (c *msgpackConn) receive(message *msgpackrpc.Message) bool {
	if message.Kind == msgpackrpc.Notification && message.Method == msgpackrpc.MethodCancel {
		if id, ok := msgpackrpc.CancelledID(*message); ok {
			c.cancel(id)
		}
	}
	if message.Kind != msgpackrpc.Request {
		return true
	}
	call, err := msgpackrpc.ParseCall(message.Params)
	if err != nil {
		return false
	}
	call.Body = bytes.Clone(call.Body) // the message is valid until the next one is read
	id, cancelled := message.ID, make(chan struct{})
	c.mu.Lock()
	c.pending[id] = cancelled
	c.mu.Unlock()
	c.calls.Go(func() { c.run(id, &call, cancelled) })
	return true
}

// cancel cancels a call if it is pending.
func (c *msgpackConn) cancel(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancelled := c.pending[id]; cancelled != nil {
		close(cancelled)
		delete(c.pending, id)
	}
}

// cancelAll cancels all pending calls.
func (c *msgpackConn) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancelled := range c.pending {
		close(cancelled)
	}
	clear(c.pending)
}

// complete removes a call. It returns false if the call was cancelled.
func (c *msgpackConn) complete(id uint32, cancelled chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasPending := c.pending[id] == cancelled
	delete(c.pending, id)
	return wasPending
}

// run executes one call and writes the reply.
func (c *msgpackConn) run(id uint32, call *msgpackrpc.Call, cancelled chan struct{}) {
	options, backend := &c.server.options, c.server.backend
	behavior := options.Behavior(call.Target, call.ID)
	admission, err := c.do(call, &behavior, cancelled)
	if !c.complete(id, cancelled) {
		return
	}
	reply := msgpackrpc.Reply{Body: []byte("done " + call.ID), Load: options.loadReport(backend)}
	switch {
	case admission == model.Rejected:
		reply = msgpackrpc.Reply{Code: msgpackrpc.NotRun}
	case admission == model.Down || errors.Is(err, servermodel.ErrServerDown):
		reset(c.Conn)
		return
	case behavior.Fail:
		reply = msgpackrpc.Reply{Code: msgpackrpc.Failed}
	}
	c.write(msgpackrpc.AppendReply(nil, id, &reply), &behavior)
}

// do passes a call to the backend as specified by behavior.
func (c *msgpackConn) do(call *msgpackrpc.Call, behavior *Behavior, cancelled chan struct{}) (model.Admission, error) {
	backend := c.server.backend
	request := behavior.request(call.ID, call.IdempotencyKey)
	switch {
	case !sleep(behavior.NetworkDelay, cancelled):
		return model.Accepted, nil
	case behavior.Hang:
		<-cancelled
		return model.Accepted, nil
	case behavior.Reset:
		c.calls.Go(func() { _, _, _ = backend.Do(request, nil) }) // returns when the backend stops, or earlier
		return model.Accepted, servermodel.ErrServerDown
	}
	_, admission, err := backend.Do(request, cancelled)
	c.server.options.notifyRejected(call.ID, admission)
	sleep(behavior.NetworkDelay, cancelled)
	return admission, err
}

// write sends an encoded reply. After a truncated or malformed reply it resets the connection, which can't be used
// any more.
func (c *msgpackConn) write(raw []byte, behavior *Behavior) {
	c.writes.Lock()
	defer c.writes.Unlock()
	if behavior.Truncate || behavior.Malform {
		if raw = raw[:len(raw)/2]; behavior.Malform {
			raw = []byte{0xc1}
		}
		defer reset(c.Conn)
	}
	_, _ = c.Write(raw) // fails if the client has disconnected
}

// Close closes the listener and all connections. It waits for their goroutines.
func (s *MsgpackServer) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

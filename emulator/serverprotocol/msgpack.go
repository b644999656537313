package serverprotocol

import (
	"errors"
	"net"
	"sync"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/msgpackrpc"
)

// Msgpack is a server that speaks MessagePack-RPC, as docs/msgpack-rpc.md has app servers.
type Msgpack struct {
	Addr string

	host  *servermodel.Host
	o     Options
	ln    net.Listener
	ended sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// ServeMsgpack runs the face on a listener. The host's end is the caller's to see to.
func ServeMsgpack(ln net.Listener, h *servermodel.Host, work Work) *Msgpack {
	return TreatMsgpack(ln, h, Options{Treat: treatAs(work, nil)})
}

// TreatMsgpack is ServeMsgpack with a treatment for each call.
func TreatMsgpack(ln net.Listener, h *servermodel.Host, o Options) *Msgpack {
	f := &Msgpack{Addr: ln.Addr().String(), host: h, o: o, ln: ln, conns: make(map[net.Conn]bool)}
	f.ended.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			if f.closed {
				c.Close()
			}
			f.conns[c] = true
			f.mu.Unlock()
			f.ended.Go(func() {
				f.serve(c)
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			})
		}
	})
	return f
}

// serve is one connection: calls run at once, and are answered as they end.
func (f *Msgpack) serve(c net.Conn) {
	if !f.host.Connect() {
		reset(c)
		return
	}
	defer f.host.Disconnect()
	var writing, open sync.Mutex
	var calls sync.WaitGroup
	gone := make(map[uint32]chan struct{})
	defer calls.Wait()
	defer func() {
		open.Lock()
		defer open.Unlock()
		for _, g := range gone {
			close(g)
		}
		clear(gone)
	}()
	defer c.Close()
	in := msgpackrpc.NewReader(c)
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		m, err := msgpackrpc.Parse(raw)
		if err != nil {
			return
		}
		if id, ok := msgpackrpc.CancelledID(m); ok && m.Kind == msgpackrpc.Notification && m.Method == msgpackrpc.MethodCancel {
			open.Lock()
			if g := gone[id]; g != nil {
				close(g)
				delete(gone, id)
			}
			open.Unlock()
		}
		if m.Kind != msgpackrpc.Request {
			continue
		}
		q, err := msgpackrpc.ParseCall(m.Params)
		if err != nil {
			return
		}
		g := make(chan struct{})
		open.Lock()
		gone[m.ID] = g
		open.Unlock()
		calls.Go(func() {
			t := f.o.Treat(q.Target, q.ID)
			todo := t.request(q.ID, q.IdempotencyKey)
			verdict, err := model.Taken, error(nil)
			switch {
			case !pause(t.Way, g):
			case t.Hang:
				<-g
			case t.Reset:
				calls.Go(func() { f.host.Do(todo, nil) }) // it ends with the host
				err = servermodel.ErrLost
			default:
				if _, verdict, err = f.host.Do(todo, g); verdict == model.Full && f.o.Turned != nil {
					f.o.Turned(q.ID)
				}
				pause(t.Way, g)
			}
			open.Lock()
			waited := gone[m.ID] == g
			delete(gone, m.ID)
			open.Unlock()
			r := msgpackrpc.Reply{Body: []byte("done " + q.ID), Load: f.o.report(f.host)}
			switch {
			case !waited: // given up
				return
			case verdict == model.Full:
				r = msgpackrpc.Reply{Code: msgpackrpc.NotRun}
			case verdict == model.Down || errors.Is(err, servermodel.ErrLost):
				reset(c)
				return
			case t.Fail:
				r = msgpackrpc.Reply{Code: msgpackrpc.Failed}
			}
			raw := msgpackrpc.AppendReply(nil, m.ID, &r)
			writing.Lock()
			defer writing.Unlock()
			if t.Half || t.Spoil { // the connection is no good any more
				if raw = raw[:len(raw)/2]; t.Spoil {
					raw = []byte{0xc1}
				}
				defer reset(c)
			}
			_, _ = c.Write(raw) // whoever asked may have left
		})
	}
}

// Close ends the face with all its connections.
func (f *Msgpack) Close() {
	f.mu.Lock()
	f.closed = true
	f.ln.Close()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.ended.Wait()
}

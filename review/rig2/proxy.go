package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on to an address. It can fall silent on the connections that it has: they stay open, and
// nothing passes in either direction. New connections pass as before.
type proxy struct {
	addr     string
	accepted atomic.Int64

	mu     sync.Mutex
	silent []chan struct{} // one for each connection; closed when the connection falls silent
}

// newProxy starts a proxy in front of the address to.
func (w *world) newProxy(to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	p := &proxy{addr: listener.Addr().String()}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			w.note("proxy: a connection to the control plane is opened")
			go p.pass(client, to)
		}
	}()
	return p
}

// fallSilent makes the connections of now silent.
func (p *proxy) fallSilent() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silent := range p.silent {
		close(silent)
	}
	p.silent = nil
	return time.Now()
}

func (p *proxy) pass(client net.Conn, to string) {
	server, err := net.Dial("tcp", to)
	if err != nil {
		_ = client.Close()
		return
	}
	silent := make(chan struct{})
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.mu.Unlock()
	go copyUntil(client, server, silent)
	go copyUntil(server, client, silent)
}

// copyUntil copies until silent is closed. What arrives after that is neither read nor passed on.
func copyUntil(to, from net.Conn, silent chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-silent:
			return // both connections stay open
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

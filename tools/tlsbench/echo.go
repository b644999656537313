package main

import (
	"context"
	"io"
	"net"
	"runtime"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	frontsecure "cobaltward/internal/frontend/secure"
	"cobaltward/router"
	"cobaltward/tools/internal/benchkit"
	"cobaltward/transport/secure"
)

// dialTimeout is the maximum time of a connection's handshake.
const dialTimeout = 10 * time.Second

// newCPUScheduler returns a scheduler that lets one handshake compute at a time, like the scheduler of a node on one
// core.
func newCPUScheduler() *handshakes.CPUScheduler {
	return handshakes.NewCPUScheduler(1, runtime.NumCPU(), func() bool { return false })
}

// listenTLSEcho runs an echo server behind the node's TLS frontend until the returned listener is closed.
func listenTLSEcho(own *certificates.Store) (*frontsecure.Terminator, net.Listener, error) {
	terminator, err := frontsecure.New(frontsecure.Config{Certificates: own, CPU: newCPUScheduler()})
	if err != nil {
		return nil, nil, err
	}
	plain, err := benchkit.ListenLoopback()
	if err != nil {
		return nil, nil, err
	}
	ln := terminator.Listener(plain)
	go benchkit.AcceptLoop(ln, benchkit.EchoConn)
	return terminator, ln, nil
}

// dialTLSEcho connects to an echo server with the node's TLS client. It exchanges a line after the handshake, so that
// the session ticket has arrived when dialTLSEcho returns.
func dialTLSEcho(clientTLS *secure.ClientTLS, server router.Endpoint) (*secure.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	clientTLS.UpdateServer(server)
	conn, err := clientTLS.Handshake(ctx, ctx, &server, true, func() (*net.TCPConn, error) {
		raw, err := net.Dial("tcp", server.Addr)
		if err != nil {
			return nil, err
		}
		return raw.(*net.TCPConn), nil
	})
	if err != nil {
		return nil, err
	}
	return conn, exchange(conn)
}

// exchange sends a line to an echo server and reads it back.
func exchange(conn io.ReadWriter) error {
	line := []byte("x\n")
	if _, err := conn.Write(line); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, line)
	return err
}

package racetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// serverRequest is a request that a server has read, and the connection on which the request arrived.
type serverRequest struct {
	net.Conn
	id      string
	earlier int // number of earlier requests on this connection
}

// respond sends a 200 response with the given body, and reports whether the write succeeded.
func (req serverRequest) respond(body string) bool {
	_, err := fmt.Fprintf(req, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// write sends raw bytes to the node, and reports whether the write succeeded.
func (req serverRequest) write(text string) bool {
	_, err := io.WriteString(req, text)
	return err == nil
}

// resetOnClose makes the server send an RST instead of a FIN when it closes the connection.
func (req serverRequest) resetOnClose() { _ = req.Conn.(*net.TCPConn).SetLinger(0) }

// requestHandler handles a request at a server and returns false to close the connection. A server with a nil handler
// answers with status 200.
type requestHandler func(req serverRequest) bool

// hangIf returns a handler that does not answer requests whose ID starts with prefix. For such a request, the handler
// returns when the node cancels the request. The handler answers all other requests.
func hangIf(prefix string) requestHandler {
	return func(req serverRequest) bool {
		if strings.HasPrefix(req.id, prefix) {
			_, _ = io.Copy(io.Discard, req) // returns when the node cancels the request
			return false
		}
		return req.respond("done")
	}
}

// startServer runs a server with the given ID and handler until the test ends, and returns its address.
func (env *harness) startServer(id string, handler requestHandler) string {
	return testkit.RawServer(env.t, func(c net.Conn, r *bufio.Reader) { env.serveConn(id, handler, c, r) })
}

// serveConn records and handles the requests on conn until the connection is closed. id is the ID of the server.
func (env *harness) serveConn(id string, handler requestHandler, conn net.Conn, r *bufio.Reader) {
	if handler == nil {
		handler = func(req serverRequest) bool { return req.respond("done " + req.id) }
	}
	for n := 0; ; n++ {
		parsed, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, parsed.Body); err != nil {
			return
		}
		req := serverRequest{conn, parsed.Header.Get("X-Request-Id"), n}
		env.mu.Lock()
		env.forwarded = append(env.forwarded, forwardedRequest{id, req.id, time.Now()})
		env.mu.Unlock()
		if !handler(req) {
			return
		}
	}
}

// blockedServer is a server whose accept queue is full. Dials to the server block until unblock is called.
type blockedServer struct {
	fd        int
	unblocked bool
	serve     func(conn fdConn)
	running   sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// startBlockedServer runs a server with the given ID. Dials to addr block until unblock is called.
func (env *harness) startBlockedServer(id string) (addr string, unblock func()) {
	env.t.Helper()
	fd, addr := listenWithoutBacklog(env.t)
	fillAcceptQueue(env.t, addr)
	server := &blockedServer{fd: fd, serve: func(conn fdConn) { env.serveConn(id, nil, conn, bufio.NewReader(conn)) }}
	env.t.Cleanup(server.stop)
	return addr, server.unblock
}

// listenWithoutBacklog returns a listening socket with the shortest possible accept queue, and the address of the
// socket.
func listenWithoutBacklog(t *testing.T) (fd int, addr string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
}

// fillAcceptQueue opens connections to addr until a dial times out. The connections stay open until the test ends.
func fillAcceptQueue(t *testing.T, addr string) {
	t.Helper()
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// unblock starts accepting connections.
func (s *blockedServer) unblock() {
	s.unblocked = true
	s.running.Go(func() {
		defer func() { _ = syscall.Close(s.fd) }()
		for {
			fd, _, err := syscall.Accept(s.fd)
			if err != nil {
				return
			}
			conn := fdConn{fd}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.running.Go(func() { s.serve(conn) })
		}
	})
}

// stop closes the listener and the connections, and waits for the server's goroutines.
func (s *blockedServer) stop() {
	_ = syscall.Shutdown(s.fd, syscall.SHUT_RDWR) // makes a blocked accept return
	if !s.unblocked {
		_ = syscall.Close(s.fd)
	}
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// fdConn is a connection on a file descriptor. It implements Read, Write and Close. The other methods of net.Conn do
// nothing.
type fdConn struct{ fd int }

func (c fdConn) Read(p []byte) (int, error) {
	n, err := syscall.Read(c.fd, p)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(n, 0), err
}

func (c fdConn) Write(p []byte) (int, error)      { return syscall.Write(c.fd, p) }
func (c fdConn) Close() error                     { return syscall.Shutdown(c.fd, syscall.SHUT_RDWR) }
func (c fdConn) LocalAddr() net.Addr              { return nil }
func (c fdConn) RemoteAddr() net.Addr             { return nil }
func (c fdConn) SetDeadline(time.Time) error      { return nil }
func (c fdConn) SetReadDeadline(time.Time) error  { return nil }
func (c fdConn) SetWriteDeadline(time.Time) error { return nil }

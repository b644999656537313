package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// server is an application server. While hanging is set, it answers no request.
type server struct {
	id, addr  string
	history   *history
	hanging   atomic.Bool
	faultRate float64 // fraction of requests with a faulty response
}

func startServer(t *testing.T, id string, h *history, faults float64) *server {
	t.Helper()
	s := &server{id: id, history: h, faultRate: faults}
	s.addr = testkit.RawServer(t, s.serve)
	return s
}

// serve answers the requests on conn until the node or a fault closes the connection.
func (s *server) serve(conn net.Conn, in *bufio.Reader) {
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		deadlineMs, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms")) // 0 if missing; recordAttempt accepts 0
		unread, _ := sockets.SinceLastReceived(conn.(*net.TCPConn))        // 0 if the kernel does not report the time
		attempt := s.history.recordAttempt(id, time.Duration(deadlineMs)*time.Millisecond, unread)
		if !s.answer(conn, in, id, attempt) {
			return
		}
	}
}

// answer answers one request, with a fault at the rate faultRate. It returns false to close the connection.
func (s *server) answer(conn net.Conn, in *bufio.Reader, id string, attempt int) bool {
	if s.hanging.Load() {
		_, _ = in.Peek(1) // returns when the node cancels the attempt
		return false
	}
	time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	if rand.Float64() >= s.faultRate {
		return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
	switch rand.IntN(7) {
	case 0: // rejected
		s.history.recordNotRun(id, attempt)
		return write(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case 1:
		return write(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case 2: // reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case 3: // half a head
		write(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case 4: // half a body
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")
		return false
	case 5: // a chunked body that never ends
		for write(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); write(conn, "1\r\nx\r\n"); {
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
	return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone") && false
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// registry is a discovery service. It delays the answer to a call until the list changes or the call's wait is over.
type registry struct {
	addr string

	mu       sync.Mutex
	revision int
	members  []string
	changed  chan struct{}
}

func startRegistry(t *testing.T, servers []*server) *registry {
	t.Helper()
	r := &registry{changed: make(chan struct{})}
	r.set(servers)
	r.addr = testkit.HTTPServer(t, r.serveHTTP)
	return r
}

// set replaces the list with entries for the servers, and increments the revision.
func (r *registry) set(servers []*server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.members = nil
	for _, s := range servers {
		r.members = append(r.members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"k","cell":0,`+
			`"phase":"up","size":1,"up_since_ms":0}`, s.id, s.addr))
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// list returns the current list as the body of a complete answer.
func (r *registry) list() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listLocked()
}

func (r *registry) listLocked() string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, r.revision, strings.Join(r.members, ","))
}

func (r *registry) serveHTTP(w http.ResponseWriter, request *http.Request) {
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	r.mu.Lock()
	changed := r.changed
	if request.URL.Query().Get("index") != strconv.Itoa(r.revision) {
		changed = nil
	}
	r.mu.Unlock()
	if changed != nil {
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(w, r.listLocked())
}

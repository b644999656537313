package abusetest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// Names of the classes in the settings of every node.
const (
	searchClass  = "hladanie"
	bookingClass = "rezervacia"
	cancelClass  = "zrusenie"
)

// member returns the entry of a server in the endpoint list.
func member(i int, addr string) map[string]any {
	return map[string]any{
		"id": fmt.Sprint("s", i), "host_port": addr, "locality": "a", "flavor": "k", "cell": 1, "phase": "up", "size": 1.0,
		"up_since_ms": 0,
	}
}

// startRegistry starts a discovery service with an endpoint list that does not change.
func startRegistry(t testing.TB, servers []string) string {
	var members []map[string]any
	for i, addr := range servers {
		members = append(members, member(i, addr))
	}
	return testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		list := map[string]any{"revision": 1, "complete": true, "members": members}
		if r.URL.Query().Get("index") == "1" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
			list = map[string]any{"revision": 1, "complete": false, "members": []any{}}
		}
		_ = json.NewEncoder(w).Encode(list) // fails only if the node has disconnected
	})
}

// server is a stand-in for an app server. It records how often each request has run.
type server struct {
	addr        string
	serviceTime time.Duration
	hang        func() // called before a request is served; nil: no server hangs
	// answerSize returns the length of the answer's body for the request with the given ID.
	answerSize func(id string) int
	chunked    bool // whether answers have the chunked coding

	mu   sync.Mutex
	runs map[string]int       // by request ID
	last map[string]time.Time // last arrival, by request ID
}

func startServer(t testing.TB, configure func(*server)) *server {
	t.Helper()
	s := &server{
		serviceTime: 5 * time.Millisecond, answerSize: func(string) int { return 0 }, runs: make(map[string]int),
		last: make(map[string]time.Time),
	}
	configure(s)
	s.addr = testkit.RawServer(t, s.serve)
	return s
}

// serve answers the requests on conn until the node closes it.
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
		s.mu.Lock()
		s.runs[id]++
		s.last[id] = time.Now()
		s.mu.Unlock()
		if s.hang != nil {
			s.hang()
		}
		time.Sleep(s.serviceTime)
		if s.answer(conn, s.answerSize(id)) != nil {
			return
		}
	}
}

// answerPiece is the size of the pieces in which a server writes long answers, in bytes.
const answerPiece = 16 << 10

// answer writes an answer with a body of size bytes.
func (s *server) answer(conn net.Conn, size int) error {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	if s.chunked {
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if size <= answerPiece && !s.chunked {
		_, err := io.WriteString(conn, head+strings.Repeat("x", size))
		return err
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	piece := strings.Repeat("x", answerPiece)
	for left := size; left > 0; left -= len(piece) {
		piece = piece[:min(len(piece), left)]
		if s.chunked {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return err
			}
		} else if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	if s.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// runsOf returns how often the request with the given ID has run.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// lastArrival returns the time at which the request with the given ID last arrived; zero: never.
func (s *server) lastArrival(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[id]
}

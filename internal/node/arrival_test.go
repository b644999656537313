package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// deadlineSlack is by how much the time that is passed on to a server may exceed what the client has left.
const deadlineSlack = 150 * time.Millisecond

// holdingServer is an app server that notes the X-Deadline-Ms of each request, and answers once it is let.
type holdingServer struct {
	mu       sync.Mutex
	received map[string]receivedRequest
	release  chan struct{} // closed when the requests are to be answered
}

type receivedRequest struct {
	at       time.Time
	deadline time.Duration
}

func (s *holdingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	s.mu.Lock()
	s.received[r.Header.Get("X-Request-Id")] = receivedRequest{at, time.Duration(ms) * time.Millisecond}
	s.mu.Unlock()
	select {
	case <-s.release:
	case <-r.Context().Done():
	}
}

func (s *holdingServer) of(id string) (receivedRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	got, ok := s.received[id]
	return got, ok
}

// runHolding runs a node with one holdingServer, and returns both. listen may wrap the clients' listener.
func runHolding(t *testing.T, sockets int, wrap func(net.Listener) net.Listener) (*holdingServer, string) {
	t.Helper()
	return runHoldingFor(t, sockets, 1, wrap)
}

// runHoldingFor is runHolding with all deadlines so many times as long.
func runHoldingFor(
	t *testing.T, sockets int, scale time.Duration, wrap func(net.Listener) net.Listener,
) (*holdingServer, string) {
	t.Helper()
	server := &holdingServer{received: make(map[string]receivedRequest), release: make(chan struct{})}
	config := Config{Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: sockets, Settings: drainSettings()}
	for i := range config.Settings.Classes { // attempts end with the client's time, and not with that of full worth
		config.Settings.Classes[i].Deadline *= scale
		config.Settings.Classes[i].LatencyObjective = config.Settings.Classes[i].Deadline
	}
	config.InitialList.Revision, config.InitialList.Full = 1, true
	config.InitialList.Endpoints = []router.Endpoint{
		{ID: "s", Addr: testkit.HTTPServer(t, server.ServeHTTP), Zone: "a", Kind: "k", Weight: 1},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, wrap(listener), nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		if err := testkit.Receive(t, "the node's end", ended); err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

// booking is a request of a class that must not be repeated: its one attempt has all the time that is left.
func booking(id string, deadline time.Duration) string {
	const form = "POST /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: rezervacia\r\n" +
		"X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n"
	return fmt.Sprintf(form, id, deadline.Milliseconds())
}

// heldListener holds each connection back for a while after it came: its request waits in the system's buffers.
type heldListener struct {
	net.Listener
	hold time.Duration
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.hold)
	}
	return conn, err
}

func (l *heldListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// TestDeadlineCountsFromArrival has requests wait unread in the system's buffers or behind another request: what the
// server is told of the client's time is what the client has left.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const wait, clientDeadline = 500 * time.Millisecond, 1200 * time.Millisecond
	check := func(t *testing.T, server *holdingServer, id string, sent time.Time) {
		t.Helper()
		var got receivedRequest
		testkit.Await(t, "the request to reach the server", func() (ok bool) {
			got, ok = server.of(id)
			return ok
		})
		if left := clientDeadline - got.at.Sub(sent); got.deadline > left+deadlineSlack {
			t.Errorf("the server was told %v, and the client had %v left", got.deadline, left)
		}
	}
	dial := func(t *testing.T, addr string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	t.Run("accepted late", func(t *testing.T) {
		server, addr := runHolding(t, 512, func(l net.Listener) net.Listener { return &heldListener{l, wait} })
		conn, sent := dial(t, addr), time.Now()
		_, _ = io.WriteString(conn, booking("r", clientDeadline))
		check(t, server, "r", sent)
		close(server.release)
	})
	t.Run("behind another request", func(t *testing.T) {
		server, addr := runHolding(t, 512, func(l net.Listener) net.Listener { return l })
		conn, sent := dial(t, addr), time.Now()
		_, _ = io.WriteString(conn, booking("first", clientDeadline)+booking("second", clientDeadline))
		time.AfterFunc(wait, func() { close(server.release) })
		check(t, server, "second", sent)
	})
}

// TestCrowdOfBusyClientsDelaysNoAnswer fills the node's connections with requests that wait for a hung server. A client
// with little time that comes then still gets a final answer within half a second after its time.
func TestCrowdOfBusyClientsDelaysNoAnswer(t *testing.T) {
	delaysNoAnswer(t, 1)
}

// TestCrowdWithLongDeadlinesDelaysNoAnswer is the same where all classes have long deadlines.
func TestCrowdWithLongDeadlinesDelaysNoAnswer(t *testing.T) {
	delaysNoAnswer(t, 8)
}

// delaysNoAnswer plays a crowd whose deadlines are so many times the usual ones.
func delaysNoAnswer(t *testing.T, scale time.Duration) {
	t.Helper()
	const late = 500 * time.Millisecond // beyond which a request counts as lost
	server, addr := runHoldingFor(t, minDescriptors, scale, func(l net.Listener) net.Listener { return l })
	defer close(server.release)
	for i := range minDescriptors { // more than the node lets in
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, booking(fmt.Sprint("busy", i), scale*1200*time.Millisecond))
	}
	testkit.Await(t, "the crowd to be in", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.received) > 0
	})
	time.Sleep(50 * time.Millisecond) // the crowd has no state to be seen from outside beyond this
	for i := range 3 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		const deadline = 100 * time.Millisecond
		sent := time.Now()
		_, _ = io.WriteString(conn, booking(fmt.Sprint("short", i), deadline))
		_ = conn.SetReadDeadline(sent.Add(deadline + late))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer %v after the request was sent: %v", time.Since(sent), err)
		}
		_ = response.Body.Close()
	}
}

// TestHalfSentHeadsKeepNobodyOut fills the node's connections with clients that stop in the midst of a head. A client
// that comes then gets its final answer in time.
func TestHalfSentHeadsKeepNobodyOut(t *testing.T) {
	halfSentKeepsNobodyOut(t, "GET /api HT")
}

// TestHalfSentBodiesKeepNobodyOut has them stop in the midst of a body, short or long, or of one behind a head that is
// rejected.
func TestHalfSentBodiesKeepNobodyOut(t *testing.T) {
	for name, head := range map[string]string{
		"short": booking("half", time.Minute), "long": booking("half", time.Minute),
		"rejected": "POST /x HTTP/1.1\r\nHost: x\r\nX-Class: none\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			length := "Length: 9"
			if name == "long" {
				length = "Length: 60000"
			}
			halfSentKeepsNobodyOut(t, strings.Replace(head, "Length: 0", length, 1)+"half")
		})
	}
}

// halfSentKeepsNobodyOut plays clients that send a part of a request and no more.
func halfSentKeepsNobodyOut(t *testing.T, part string) {
	t.Helper()
	const late = 500 * time.Millisecond
	server, addr := runHolding(t, minDescriptors, func(l net.Listener) net.Listener { return l })
	close(server.release)
	for range 2 * minDescriptors {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, part)
	}
	for i := range 5 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		const deadline = 300 * time.Millisecond
		sent := time.Now()
		_, _ = io.WriteString(conn, booking(fmt.Sprint("well", i), deadline))
		_ = conn.SetReadDeadline(sent.Add(deadline + late))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer %v after the request was sent: %v", time.Since(sent), err)
		}
		_ = response.Body.Close()
	}
}

// TestYoungConnectionDoesNotMakeRoom has clients connect to a node that is full of connections at rest, each with its
// first request a moment later: none of the young ones is closed for the next, while there are others.
func TestYoungConnectionDoesNotMakeRoom(t *testing.T) {
	l, _, rested := acceptOneClient(t)
	l.setMaxConns(2)
	l.queueTimeout = func() time.Duration { return testkit.Long }
	young, inYoung := connectClient(t, l)
	l.mu.Lock()
	rested.noteRequestBytesLocked() // its request is there, and is answered below
	l.mu.Unlock()
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	time.AfterFunc(firstRequestGrace/4, func() { // well before the young one is old
		rested.onStateChange(http.StateActive)
		rested.onStateChange(http.StateIdle)
	})
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(young, "GET / HTTP/1.1\r\n")
	_ = inYoung.SetReadDeadline(time.Now().Add(testkit.Long))
	if n, err := inYoung.Read(make([]byte, 64)); n == 0 {
		t.Errorf("the young connection was closed: %v", err)
	}
}

// TestTurnedAwayGetsAnAnswer crowds a node with clients that pause in the midst of a head. Each whose connection makes room
// meanwhile finds a rejection that says when to try again: the rest of its request may cross the close.
func TestTurnedAwayGetsAnAnswer(t *testing.T) {
	_, addr := runHolding(t, minDescriptors, func(l net.Listener) net.Listener { return l })
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	for range 2 * minDescriptors {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /api HT")
		all.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // before the time of a head is over
			answer, err := io.ReadAll(conn)
			what, _, _ := strings.Cut(string(answer), "\r\n")
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && len(answer) == 0:
				what = "none yet"
			case !strings.Contains(string(answer), "\r\nRetry-After: 1\r\n"):
				what += " and not when to try again"
			}
			mu.Lock()
			defer mu.Unlock()
			answers[what]++
		})
	}
	all.Wait()
	if turnedAway := answers["HTTP/1.1 503 Service Unavailable"]; turnedAway == 0 || turnedAway+answers["none yet"] != 2*minDescriptors {
		t.Errorf("answers %v, want some rejections and no connection closed without one", answers)
	}
}

// TestTurnedAwayAsItsRequestComes has bytes of a request be read just as their connection makes room, and whoever reads
// close it for that: the rejection goes ahead of either close.
func TestTurnedAwayAsItsRequestComes(t *testing.T) {
	l, client, conn := acceptOneClient(t)
	for range 300 {
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = conn.Read(make([]byte, 64)) // as net/http does
			_ = conn.Close()
		}()
		l.mu.Lock()
		_, _ = io.WriteString(client, "GET / HT")
		time.Sleep(200 * time.Microsecond) // for the reader to wait for the mutex; without that the play proves less
		l.rejectEvictedLocked(conn, true)
		l.mu.Unlock()
		_ = client.SetReadDeadline(time.Now().Add(testkit.Long))
		answer := make([]byte, len("HTTP/1.1 503"))
		if n, err := io.ReadFull(client, answer); err != nil {
			t.Fatalf("got %q and %v, want a rejection", answer[:n], err)
		}
		<-closed
		_ = client.Close()
		next, in := connectClient(t, l)
		client, conn = next, in.(*clientConn)
	}
}

// TestTurnedAwayIsNotHandedOn makes room with a connection just before, or after, its request is handed on: a client
// that was told of a rejection may try again, so that its request must not run.
func TestTurnedAwayIsNotHandedOn(t *testing.T) {
	for _, handedOnFirst := range []bool{false, true} {
		l, _, conn := acceptOneClient(t)
		ctx := withClientConn(t.Context(), conn)
		l.mu.Lock()
		conn.noteRequestBytesLocked()
		conn.lastPartialAt = time.Now().Add(-2 * stalledRequestAge)
		l.mu.Unlock()
		if handedOnFirst && mustReject(ctx) {
			t.Error("a request that there is room for is rejected")
		}
		l.mu.Lock()
		turnedAway := l.evictStalledLocked()
		l.mu.Unlock()
		if turnedAway == handedOnFirst {
			t.Errorf("handed on first: %v, and turned away: %v", handedOnFirst, turnedAway)
		}
		if turnedAway && !mustReject(ctx) {
			t.Error("a request is handed on whose client was told that it was rejected")
		}
	}
}

// TestTurnedAwayAheadOfItsAnswer has a connection make room whose request is to be rejected, before that answer is written.
func TestTurnedAwayAheadOfItsAnswer(t *testing.T) {
	l, client, conn := acceptOneClient(t)
	l.mu.Lock()
	conn.noteRequestBytesLocked()
	conn.overflow, l.maxConns = true, 0
	l.mu.Unlock()
	if !mustReject(withClientConn(t.Context(), conn)) {
		t.Fatal("a request that there is no room for is handed on")
	}
	l.mu.Lock()
	conn.lastPartialAt = time.Now().Add(-2 * stalledRequestAge)
	turnedAway := l.evictStalledLocked()
	l.mu.Unlock()
	if !turnedAway {
		t.Fatal("it makes no room")
	}
	answer := make([]byte, len("HTTP/1.1 503"))
	if n, err := io.ReadFull(client, answer); err != nil {
		t.Errorf("got %q and %v, want a rejection", answer[:n], err)
	}
}

// TestLastCallComesInToBeServed has a client in the system's queue as a full listener closes: it is let in beyond the
// bound, and its request is not rejected for that.
func TestLastCallComesInToBeServed(t *testing.T) {
	l, _, busy := acceptOneClient(t)
	l.setMaxConns(1)
	l.mu.Lock()
	busy.noteRequestBytesLocked()
	l.mu.Unlock()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.drainAcceptQueue()
	}()
	testkit.Await(t, "the last call", l.isClosed)
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if mustReject(withClientConn(t.Context(), conn)) {
		t.Error("its requests are rejected for want of room")
	}
	if _, err := l.Accept(); err == nil {
		t.Error("another one is let in")
	}
	<-closed
}

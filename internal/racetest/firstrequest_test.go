package racetest

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

const (
	// killMargin is the time directly before SIGKILL in which the node need not answer requests.
	killMargin = 100 * time.Millisecond
	// queueTimeoutDivisor divides the deadline to get the tolerated delay of the host. After a longer delay, too
	// little of the deadline may be left. The node may then reject the request or let it fail.
	queueTimeoutDivisor = 4
)

// shutdownCase is a way of shutting a node down while clients connect to it. Its times count from the start of the
// shutdown.
type shutdownCase struct {
	longestDeadline time.Duration // deadline of every class
	connectAt       []time.Duration
	answerUntil     time.Duration // requests sent before this time must be served
	start           func(env *harness)
}

func terminationCase(longestDeadline time.Duration) shutdownCase {
	return shutdownCase{
		longestDeadline: longestDeadline,
		connectAt:       []time.Duration{200 * time.Millisecond, 350 * time.Millisecond, 390 * time.Millisecond},
		answerUntil:     killDelay(longestDeadline) - killMargin,
		start:           func(env *harness) { env.terminate() },
	}
}

var shutdownCases = map[string]shutdownCase{
	"SIGTERM/100ms": terminationCase(100 * time.Millisecond),
	"SIGTERM/400ms": terminationCase(400 * time.Millisecond),
	"SIGTERM/1.5s":  terminationCase(1500 * time.Millisecond),
	"drain on request": { // the listeners stop accepting after 0.92 s
		longestDeadline: 400 * time.Millisecond,
		connectAt:       []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 850 * time.Millisecond},
		answerUntil:     2 * time.Second,
		start:           func(env *harness) { env.startDrain("2s") },
	},
}

// firstRequestDelays are the times between a connect and the first byte of the request.
var firstRequestDelays = []time.Duration{
	10 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond, 120 * time.Millisecond,
	150 * time.Millisecond, 200 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond,
}

// TestFirstRequest_ServedUntilKill checks that a node that is shutting down serves the first requests of new clients.
// Clients are still routed to the node, connect, and send their first request some time later. The node must serve
// each request that is sent before the answerUntil of its case.
func TestFirstRequest_ServedUntilKill(t *testing.T) {
	for name, shutdown := range shutdownCases {
		for _, front := range []string{"HTTP", "TLS", "MessagePack-RPC"} {
			t.Run(name+"/"+front, func(t *testing.T) {
				t.Parallel()
				testFirstRequests(t, shutdown, front)
			})
		}
	}
}

// firstRequest is the first request on a connection and its outcome.
type firstRequest struct {
	connectAt, delay time.Duration
	firstResponse
}

// firstResponse is the response to the first request on a connection, or the error if there is no response.
type firstResponse struct {
	sentAt   time.Duration // time from the start of the shutdown until the request was sent
	answer   string        // "served", "answered" with a status or code, or the text of an error
	isAnswer bool          // true if answer is a response of the node, false if it is an error
}

func testFirstRequests(t *testing.T, shutdown shutdownCase, front string) {
	t.Helper()
	env := newHarness(t, setDeadlines(shutdown.longestDeadline))
	connect := env.prepareFront(front)
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	longestPause := testkit.MeasurePauses(t)
	began := time.Now()
	shutdown.start(env)

	var clients sync.WaitGroup
	received := make(chan firstRequest, len(shutdown.connectAt)*len(firstRequestDelays))
	for _, connectAt := range shutdown.connectAt {
		for _, delay := range firstRequestDelays {
			clients.Go(func() {
				time.Sleep(time.Until(began.Add(connectAt)))
				result := firstRequest{connectAt: connectAt, delay: delay}
				defer func() { received <- result }()
				exchange, err := connect()
				if err != nil {
					result.answer = err.Error()
					return
				}
				time.Sleep(time.Until(began.Add(connectAt + delay)))
				result.firstResponse = exchange(fmt.Sprintf("r-%v-%v", connectAt, delay), began)
			})
		}
	}
	clients.Wait()
	close(received)
	var results []firstRequest
	pause := longestPause()
	for result := range received {
		results = append(results, result)
		pause = max(pause, result.sentAt-result.connectAt-result.delay) // delay that the host caused for this client
	}
	answerUntil := shutdown.answerUntil - pause
	hostOnTime := pause <= shutdown.longestDeadline/queueTimeoutDivisor
	t.Logf("longest pause of the host: %v", pause)
	for _, result := range results {
		tooLateToServe := result.isAnswer && !hostOnTime
		if result.sentAt < answerUntil && result.answer != "served" && !tooLateToServe {
			t.Errorf("connected at %v, first byte due %v later: %s; sent at %v, must be served if sent before %v",
				result.connectAt, result.delay, result.answer, result.sentAt, answerUntil)
		}
	}
}

// exchangeFunc sends the first request on a connection, with the given ID, and returns the outcome. The sentAt of the
// result counts from since.
type exchangeFunc func(id string, since time.Time) firstResponse

// prepareFront configures the node to serve clients over the given front. The returned function connects to that
// front.
func (env *harness) prepareFront(front string) (connect func() (exchangeFunc, error)) {
	env.t.Helper()
	switch front {
	case "TLS":
		env.useTLS()
		return func() (exchangeFunc, error) {
			conn, err := tls.Dial("tcp", env.addr, env.clientTLS)
			if err != nil {
				return nil, err
			}
			env.t.Cleanup(func() { _ = conn.Close() })
			return httpExchange(conn), nil
		}
	case "MessagePack-RPC":
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			env.t.Fatal(err)
		}
		env.config.Msgpack = node.Msgpack{Listener: listener}
		return func() (exchangeFunc, error) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return nil, err
			}
			env.t.Cleanup(func() { _ = conn.Close() })
			return rpcExchange(conn), nil
		}
	}
	return func() (exchangeFunc, error) {
		conn, err := net.Dial("tcp", env.addr)
		if err != nil {
			return nil, err
		}
		env.t.Cleanup(func() { _ = conn.Close() })
		return httpExchange(conn), nil
	}
}

func httpExchange(conn net.Conn) exchangeFunc {
	return func(id string, since time.Time) firstResponse {
		_, err := conn.Write([]byte(requestText(id, "pay", "")))
		sentAt := time.Since(since)
		if err != nil {
			return firstResponse{sentAt: sentAt, answer: err.Error()}
		}
		_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return firstResponse{sentAt: sentAt, answer: err.Error()}
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return firstResponse{sentAt, "served", true}
		}
		return firstResponse{sentAt, fmt.Sprint("answered ", response.StatusCode), true}
	}
}

func rpcExchange(conn net.Conn) exchangeFunc {
	return func(id string, since time.Time) firstResponse {
		call := msgpackrpc.Call{ID: id, Class: "pay", Tenant: "t", Timeout: time.Minute}
		_, err := conn.Write(msgpackrpc.AppendCall(nil, 1, &call))
		sentAt := time.Since(since)
		if err != nil {
			return firstResponse{sentAt: sentAt, answer: err.Error()}
		}
		_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
		reply, err := readReply(msgpackrpc.NewReader(conn))
		switch {
		case err != nil:
			return firstResponse{sentAt: sentAt, answer: err.Error()}
		case reply.Code != "":
			return firstResponse{sentAt, "answered " + string(reply.Code), true}
		}
		return firstResponse{sentAt, "served", true}
	}
}

// readReply reads the next reply and skips messages of other kinds.
func readReply(in *msgpackrpc.Reader) (msgpackrpc.Reply, error) {
	for {
		frame, err := in.Next()
		if err != nil {
			return msgpackrpc.Reply{}, err
		}
		message, err := msgpackrpc.Parse(frame)
		if err != nil {
			return msgpackrpc.Reply{}, err
		}
		if message.Kind == msgpackrpc.Response {
			return msgpackrpc.ParseReply(message)
		}
	}
}

// startDrain starts a drain of the node, with the given timeout, through the admin API.
func (env *harness) startDrain(timeout string) {
	env.t.Helper()
	if code := env.postDrain(node.DrainRequest{Timeout: timeout}); code != http.StatusAccepted {
		env.t.Fatalf("the admin API answered the drain request with status %d, want 202", code)
	}
}

// TestFirstRequest_AnsweredAfterDrainCutShort checks that the node answers the first request on a connection after
// SIGTERM or a forced drain has ended a drain early. The client connects before the first drain and sends its request
// after the early end.
func TestFirstRequest_AnsweredAfterDrainCutShort(t *testing.T) {
	for name, cutShort := range map[string]func(env *harness){
		"SIGTERM": func(env *harness) { env.terminate() },
		"force": func(env *harness) {
			env.postDrain(node.DrainRequest{Timeout: "1ms", Force: true})
			env.awaitStatus("the end of the drain", func(s node.Status) bool { return s.Drain.State == drain.Forced })
		},
	} {
		for _, front := range []string{"HTTP", "TLS", "MessagePack-RPC"} {
			t.Run(name+"/"+front, func(t *testing.T) {
				t.Parallel()
				env := newHarness(t, setDeadlines(time.Minute))
				connect := env.prepareFront(front)
				env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
				env.start()
				exchange, err := connect()
				if err != nil {
					t.Fatal(err)
				}
				env.awaitStatus("the client's connection", func(s node.Status) bool { return s.Connections.Clients > 0 })
				env.startDrain("20s")
				cutShort(env)
				response := exchange("one", time.Now())
				if !slices.Contains([]string{"served", "answered 503", "answered overloaded"}, response.answer) {
					t.Error(response.answer)
				}
			})
		}
	}
}

// postDrain sends a drain request to the admin API, and returns the response status.
func (env *harness) postDrain(request node.DrainRequest) int {
	env.t.Helper()
	client, base := adminapi.NewClient(env.config.AdminAPI.Socket, "", nil)
	defer client.CloseIdleConnections()
	body, err := json.Marshal(request)
	if err != nil {
		env.t.Fatal(err)
	}
	resp, err := client.Post(base+"/drain", "application/json", bytes.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

package protocolmatrix

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// dedupWindow is the time for which servers remember an idempotency key.
const dedupWindow = 4 * time.Second

// slowResponseDelay is the delay of a response with the reaction "slow".
const slowResponseDelay = 50 * time.Millisecond

// appServer is a server with one address for HTTP and one for MessagePack-RPC. The script defines the server's
// reaction to each completely read request.
type appServer struct {
	http, msgpack string                     // addresses
	cut           func() int                 // returns the number of bytes after which a connection is cut; nil: never
	tlsConfig     atomic.Pointer[tls.Config] // nil without TLS; set before the first connection

	mu         sync.Mutex
	script     []string             // reactions to the next requests; later requests get "ok"
	executions map[string]int       // number of executions by request ID
	firstRun   map[string]time.Time // time of the first execution by idempotency key
}

// newAppServer runs a server until the test ends. If script begins with "refuse", the server refuses connections.
func newAppServer(t testing.TB, cut func() int, script ...string) *appServer {
	t.Helper()
	app := &appServer{
		cut: cut, script: script, executions: make(map[string]int), firstRun: make(map[string]time.Time),
	}
	if len(script) > 0 && script[0] == "refuse" {
		app.http = refusingAddr(t)
		app.msgpack = app.http
		return app
	}
	app.http = testkit.RawServer(t, app.serveHTTP)
	app.msgpack = testkit.RawServer(t, app.serveMsgpack)
	return app
}

// refusingAddr returns an address that refuses connections. The port is bound, so that no other process gets it, but
// nothing listens on the port.
func refusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// next returns the reaction to a completely read request with the given ID and idempotency key. It counts an
// execution if the reaction means that the request ran.
func (a *appServer) next(id, key string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	reaction := "ok"
	if len(a.script) > 0 {
		reaction, a.script = a.script[0], a.script[1:]
	}
	if reaction != "not_run" && reaction != "drain" {
		a.executions[id]++
		if _, known := a.firstRun[key]; !known && key != "" {
			a.firstRun[key] = time.Now()
		}
	}
	return reaction
}

// totalExecutions returns the number of executions of all requests.
func (a *appServer) totalExecutions() (total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.executions {
		total += n
	}
	return total
}

// wrap returns conn with the server's cuts and TLS applied.
func (a *appServer) wrap(conn net.Conn) net.Conn {
	conn = newCutConn(conn, a.cut)
	if config := a.tlsConfig.Load(); config != nil {
		return tls.Server(conn, config)
	}
	return conn
}

func (a *appServer) serveHTTP(raw net.Conn, _ *bufio.Reader) {
	conn := a.wrap(raw)
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		reaction := a.next(req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key"))
		if !answerHTTP(conn, in, reaction) {
			return
		}
	}
}

// answerHTTP sends the response for reaction. It returns false to close the connection.
func answerHTTP(conn net.Conn, in *bufio.Reader, reaction string) (open bool) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	switch reaction {
	case "error":
		response = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	case "not_run", "drain":
		response = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	case "unknown":
		response = "HTTP/1.1 418 Teapot\r\nContent-Length: 0\r\n\r\n"
	case "invalid":
		response = "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"
	case "large":
		response = "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000)
	case "reset":
		return false
	case "half":
		_, _ = io.WriteString(conn, response[:len(response)-2])
		return false
	case "hang":
		_, _ = in.Peek(1) // returns when the node cancels the attempt
		return false
	case "slow":
		time.Sleep(slowResponseDelay)
	}
	_, err := io.WriteString(conn, response)
	return err == nil
}

func (a *appServer) serveMsgpack(raw net.Conn, _ *bufio.Reader) {
	conn := &msgpackConn{Conn: a.wrap(raw)}
	defer conn.delayed.Wait()
	in := msgpackrpc.NewReader(conn)
	for {
		messageID, call, err := readCall(in)
		if err != nil {
			return
		}
		if !conn.answer(messageID, a.next(call.ID, call.IdempotencyKey)) {
			return
		}
	}
}

// readCall reads the next call and skips other messages, which can only be cancellations.
func readCall(in *msgpackrpc.Reader) (messageID uint32, call msgpackrpc.Call, err error) {
	for {
		raw, err := in.Next()
		if err != nil {
			return 0, call, err
		}
		message, err := msgpackrpc.Parse(raw)
		if err != nil || message.Kind != msgpackrpc.Request {
			continue
		}
		call, err := msgpackrpc.ParseCall(message.Params)
		return message.ID, call, err
	}
}

// msgpackConn is a server's MessagePack-RPC connection. Several calls can be in progress on the connection.
type msgpackConn struct {
	net.Conn
	writeMu sync.Mutex
	delayed sync.WaitGroup // goroutines that send delayed replies
}

func (c *msgpackConn) write(text []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.Write(text)
}

// answer sends the reply for reaction. It returns false to close the connection.
func (c *msgpackConn) answer(messageID uint32, reaction string) (open bool) {
	encode := func(reply msgpackrpc.Reply) []byte { return msgpackrpc.AppendReply(nil, messageID, &reply) }
	text := encode(msgpackrpc.Reply{Body: []byte("done")})
	switch reaction {
	case "error":
		text = encode(msgpackrpc.Reply{Code: msgpackrpc.ServerError})
	case "not_run":
		text = encode(msgpackrpc.Reply{Code: msgpackrpc.NotRun})
	case "drain":
		text = append(msgpackrpc.AppendDrain(nil), encode(msgpackrpc.Reply{Code: msgpackrpc.NotRun})...)
	case "unknown":
		text = encode(msgpackrpc.Reply{Code: "teapot"})
	case "invalid":
		text = append(text[:3:3], 0x80, 0x80) // invalid: both an error and a result
	case "large":
		text = encode(msgpackrpc.Reply{Body: make([]byte, msgpackrpc.MaxMessageSize)})
	case "reset":
		return false
	case "half":
		c.write(text[:len(text)-2])
		return false
	case "hang":
		return true
	case "slow":
		c.delayed.Go(func() {
			time.Sleep(slowResponseDelay)
			c.write(text)
		})
		return true
	}
	c.write(text)
	return true
}

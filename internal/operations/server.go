// Package operations is the second address of a node, for who runs it: whether the process can serve, its figures,
// and taking it out and back. It decides nothing, and nothing on its way waits for requests: what it shows was
// published already, and orders go to whoever decides on drains.
package operations

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"cobaltward/internal/sockets"
)

const (
	// headFor bounds how long a caller may take for its call: none waits longer than a second for the answer.
	headFor  = time.Second
	writeFor = time.Second
	maxHead  = 4 << 10
	// slots bounds the callers at once. Where all are taken, the one that has been without a whole call for
	// longest makes room, so that those who finish none keep nobody out.
	slots = 12
)

// MaxDescriptors is how many descriptors a console takes at most: its callers, its listener and one that is being let in.
const MaxDescriptors = slots + 2

// Node is what the console shows and drives. None of its methods may wait for requests.
type Node interface {
	Serving() bool                    // this process can serve
	AppendMetrics(page []byte) []byte // appends the figures, a line each
	Standby() error                   // empty the node
	Active() error                    // back to work
}

// Server answers calls. Make one with Open.
type Server struct {
	ln     *listener
	server *http.Server
	ended  chan struct{}
}

// Listen listens. Calls wait until Serve.
func Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return ln, nil
}

// Serve answers calls on the listener until Close.
func Serve(ln net.Listener, n Node, log *slog.Logger) *Server {
	c := &Server{ln: newListener(sockets.NewPersistentListener(ln, log), slots), ended: make(chan struct{})}
	c.server = &http.Server{
		Handler: handler(n), ReadTimeout: headFor, ReadHeaderTimeout: headFor, WriteTimeout: headFor + writeFor,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnState: c.ln.change,
	}
	c.server.SetKeepAlivesEnabled(false) // one call to a connection
	go func() {
		defer close(c.ended)
		if err := c.server.Serve(c.ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("console: no calls are answered any more", "err", err)
		}
	}()
	return c
}

// lastFor is how long calls may take that are on their way when the console ends.
const lastFor = 100 * time.Millisecond

// Close ends the console.
func (c *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), lastFor)
	defer cancel()
	err := c.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = c.server.Close()
	}
	<-c.ended
	return err
}

// handler takes exactly the calls that there are.
func handler(n Node) http.Handler {
	calls := map[string]struct {
		method string
		answer func(w http.ResponseWriter)
	}{
		"/status": {http.MethodGet, func(w http.ResponseWriter) {
			if !n.Serving() {
				reply(w, http.StatusServiceUnavailable, "this process can't serve")
				return
			}
			reply(w, http.StatusOK, "serving")
		}},
		"/status/metrics": {http.MethodGet, func(w http.ResponseWriter) {
			page := n.AppendMetrics(make([]byte, 0, 1024))
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.Header().Set("Content-Length", strconv.Itoa(len(page)))
			_, _ = w.Write(page) // the caller may have left
		}},
		"/standby": {http.MethodPut, order(n.Standby, "emptying the node")},
		"/active":  {http.MethodPut, order(n.Active, "back to work")},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, ok := calls[r.URL.Path]
		switch {
		case !ok:
			reply(w, http.StatusNotFound, "no such call: there are GET /status, GET /status/metrics, PUT /standby and PUT /active")
		case r.Method != call.method:
			w.Header().Set("Allow", call.method)
			reply(w, http.StatusMethodNotAllowed, r.URL.Path+" takes "+call.method)
		default:
			call.answer(w)
		}
	})
}

func order(do func() error, done string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		if err := do(); err != nil {
			reply(w, http.StatusConflict, err.Error())
			return
		}
		reply(w, http.StatusOK, done)
	}
}

func reply(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n")) // the caller may have left
}

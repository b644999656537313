package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
)

const (
	faultyServer, slowServer = 0, 2 // indexes of servers in the node's own zone

	// The faulty server fails faultShare of its requests between faultStart and faultEnd. Both times are fractions of
	// the traffic's duration.
	faultStart, faultEnd = 0.25, 0.6
	faultShare           = 0.8

	meanWork     = 40 * time.Millisecond  // mean work of a request, exponentially distributed
	slowMeanWork = 250 * time.Millisecond // mean work of a request at the slow server

	serverSlots = 8  // maximum number of requests that a server executes concurrently
	serverQueue = 32 // maximum number of requests that wait for a slot; further requests are rejected
)

// server is an emulated app server.
type server struct {
	id, zone string
	model    *servermodel.Server
	frontend *serverprotocol.HTTPServer
}

// startServer starts the n-th server on loopback. The server drops a request if another server of group has executed
// a request with the same idempotency key.
func startServer(n int, demo *demonstration, group *servermodel.Group) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &server{id: fmt.Sprintf("server-%d", n), zone: zones[n/(serverCount/len(zones))]}
	limits := model.Config{Cores: serverSlots, Slots: serverSlots, Queue: serverQueue, Cancel: model.CancelAll}
	started.model = servermodel.Start(limits, group)
	work := model.Work{Dist: model.Exponential, Mean: meanWork.Seconds()}
	if n == slowServer {
		work.Mean = slowMeanWork.Seconds()
	}
	var fails func() bool
	if n == faultyServer {
		fails = demo.drawFault
	}
	started.frontend = serverprotocol.ServeHTTP1(ln, started.model, func(_, id string) float64 {
		demo.recordAttempt(id)
		return work.Draw(demo.config.Seed, id)
	}, fails)
	return started, nil
}

// drawFault randomly decides whether the faulty server fails a request that arrives now.
func (d *demonstration) drawFault() bool {
	elapsed := time.Since(d.trafficStart).Seconds() / d.config.Duration.Seconds()
	return elapsed >= faultStart && elapsed < faultEnd && rand.Float64() < faultShare
}

// stop stops the server and records its executions.
func (s *server) stop(d *demonstration) {
	s.frontend.Close()
	s.model.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, execution := range s.model.Executions() {
		d.executions[execution.ID]++
		if execution.Discarded {
			d.deduplicated++
		}
	}
}

// startHTTP serves HTTP on loopback with handler until stop is called.
func startHTTP(handler http.Handler) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	httpServer := &http.Server{Handler: handler}
	ended := make(chan struct{})
	go func() {
		_ = httpServer.Serve(ln) // returns when the server is closed
		close(ended)
	}()
	return ln.Addr().String(), func() { _ = httpServer.Close(); <-ended }, nil
}

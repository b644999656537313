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
	faultyServer, slowServer = 0, 2 // by number: both in the node's own zone

	// The faulty server fails a share of its requests during a part of the traffic.
	faultyFrom, faultyTo = 0.25, 0.6
	faultyShare          = 0.8

	meanWork     = 40 * time.Millisecond  // of a request, exponentially distributed
	slowMeanWork = 250 * time.Millisecond // at the slow server

	serverSlots = 8  // requests that a server executes at once
	serverQueue = 32 // requests that wait for a slot; a server rejects more
)

// server is an emulated app server.
type server struct {
	id, zone string
	model    *servermodel.Server
	frontend *serverprotocol.HTTPServer
}

// startServer runs the n-th server on loopback. The servers of one group drop each other's duplicates.
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

// drawFault reports whether the faulty server fails a request now.
func (d *demonstration) drawFault() bool {
	part := time.Since(d.began).Seconds() / d.config.Duration.Seconds()
	return part >= faultyFrom && part < faultyTo && rand.Float64() < faultyShare
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

// startHTTP serves by the handler on loopback, until stop is called.
func startHTTP(handler http.Handler) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	httpServer := &http.Server{Handler: handler}
	ended := make(chan struct{})
	go func() {
		_ = httpServer.Serve(ln) // until it is closed
		close(ended)
	}()
	return ln.Addr().String(), func() { _ = httpServer.Close(); <-ended }, nil
}

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
	slowServer, badServer = 2, 0 // by number: both in the node's own data centre
	badFrom, badTo        = 0.25, 0.6
	badShare              = 0.8                    // of its requests fail meanwhile
	work                  = 40 * time.Millisecond  // mean, exponential
	slowWork              = 250 * time.Millisecond // of the slow one
	slots                 = 8                      // requests in work at a server
	queue                 = 32                     // waiting; beyond that it turns away
	keyWindow             = 4 * time.Second        // in which all servers drop a cancellation's repeat
)

// server is an emulated app server.
type server struct {
	id, zone string
	host     *servermodel.Server
	face     *serverprotocol.HTTPServer
}

// startServer runs the n-th server on loopback. Those of one group drop each other's repeats.
func startServer(n int, w *world, group *servermodel.Group) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: fmt.Sprintf("server-%d", n), zone: []string{"bystrica", "presov", "nitra"}[n/3]}
	s.host = servermodel.Start(model.Config{Cores: slots, Slots: slots, Queue: queue, Cancel: model.CancelAll}, group)
	costs := model.Work{Dist: model.Exponential, Mean: work.Seconds()}
	if n == slowServer {
		costs.Mean = slowWork.Seconds()
	}
	var fails func() bool
	if n == badServer {
		fails = func() bool {
			since := time.Since(w.began).Seconds() / w.c.For.Seconds()
			return since >= badFrom && since < badTo && rand.Float64() < badShare
		}
	}
	s.face = serverprotocol.ServeHTTP1(ln, s.host, func(_, id string) float64 {
		w.attempt(id)
		return costs.Draw(w.c.Seed, id)
	}, fails)
	return s, nil
}

// stop ends the server, and books what it has run.
func (s *server) stop(w *world) {
	s.face.Close()
	s.host.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range s.host.Executions() {
		w.ran[e.ID]++
		if e.Discarded {
			w.dropped++
		}
	}
}

// serve runs h on loopback.
func serve(h http.Handler) (addr string, end func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	ended := make(chan struct{})
	go func() { _ = s.Serve(ln); close(ended) }() // it ends with Close, and has nothing else to tell
	return ln.Addr().String(), func() { _ = s.Close(); <-ended }, nil
}

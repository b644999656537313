package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltward/router"
	"cobaltward/tools/internal/benchkit"
)

// Texts in the control plane's output that mark the start of a phase.
const (
	phaseWithoutFlood = ": wait"
	phaseFlood        = ": flood"
	phaseEnd          = "done"
)

// requestInterval is the pause between the end of a request and the start of the next request.
const requestInterval = 500 * time.Microsecond

// measureFlood measures the latency of requests and prints it for each round. A round has a phase without updates and
// a phase with a flood of updates.
func measureFlood(bin string, rounds int) error {
	addr, stop, err := startApplication()
	if err != nil {
		return err
	}
	defer stop()
	plane, err := startControlPlane(bin, floodScript(addr, rounds))
	if err != nil {
		return err
	}
	defer plane.stop()
	subject, err := newNode(plane.addr, true)
	if err != nil {
		return err
	}
	defer func() { _ = subject.router.Close() }()
	go func() { // discards updates until the process ends; unread updates would block the source
		for range subject.updates {
		}
	}()
	phases := make(chan string, 2*rounds+2)
	go watchPhases(plane, phases) // returns at the end of the control plane's output
	return sendDuringPhases(subject.router, phases)
}

// startApplication runs the server that receives all requests. stop shuts the server down.
func startApplication() (addr string, stop func(), err error) {
	ln, err := benchkit.ListenLoopback()
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ln) })
	return ln.Addr().String(), func() { _ = server.Close(); serving.Wait() }, nil
}

// floodScript returns the control plane's script. Each round has 2 s without updates, and 2 s with 20 updates per
// second of 1000 endpoints each.
func floodScript(addr string, rounds int) string {
	script := "cluster rooms\ncluster flood\nendpoints rooms " + addr + "\n" +
		"many flood 1000 1001 DRAINING\npush\nexpect acks 2 within 10s\n"
	return script + strings.Repeat("wait 2s\nflood flood 1000 20 2s DRAINING\n", rounds)
}

func watchPhases(plane *controlPlane, phases chan<- string) {
	defer close(phases)
	for line := range plane.lines {
		for _, phase := range []string{phaseWithoutFlood, phaseFlood, phaseEnd} {
			if strings.Contains(line, phase) {
				phases <- phase
			}
		}
	}
}

// sendDuringPhases sends sequential requests until the last phase ends, and prints the latencies of each round.
func sendDuringPhases(engine *router.Router, phases <-chan string) error {
	var result floodResult
	for id := 1; ; id++ {
		select {
		case next, ok := <-phases:
			result.endPhase()
			result.phase = next
			if !ok || next == phaseEnd {
				return result.print()
			}
		default:
		}
		start := time.Now()
		req := router.Request{ID: fmt.Sprint(id), Class: "read", Tenant: "t", Target: "/"}
		if _, err := engine.Do(context.Background(), req); err != nil {
			return err
		}
		result.latencies = append(result.latencies, time.Since(start))
		time.Sleep(requestInterval)
	}
}

// floodResult holds the latencies of the current phase and the results of earlier rounds.
type floodResult struct {
	phase           string
	latencies       []time.Duration // latencies of the requests in the current phase
	p99WithoutFlood time.Duration
	ratios          []float64 // p99 with a flood divided by p99 without, one per round
}

func (r *floodResult) endPhase() {
	p99 := benchkit.Quantile(r.latencies, 0.99)
	switch r.phase {
	case phaseWithoutFlood:
		r.p99WithoutFlood = p99
	case phaseFlood:
		r.ratios = append(r.ratios, float64(p99)/float64(r.p99WithoutFlood))
		fmt.Printf("p99 %v without updates, %v with; median %v with, %d requests\n",
			r.p99WithoutFlood, p99, benchkit.Quantile(r.latencies, 0.5), len(r.latencies))
	}
	r.latencies = nil
}

func (r *floodResult) print() error {
	if len(r.ratios) == 0 {
		return errors.New("control plane ended before a flood was complete")
	}
	slices.Sort(r.ratios)
	fmt.Printf("ratios %.2f, median %.2f\n", r.ratios, r.ratios[len(r.ratios)/2])
	return nil
}

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

// Texts by which the control plane's output tells the phases of a flood apart.
const (
	phaseCalm  = ": wait"
	phaseFlood = ": flood"
	phaseEnd   = "done"
)

// requestInterval is the pause between the end of a request and the next one.
const requestInterval = 500 * time.Microsecond

// measureFlood prints the latency of requests in rounds of two phases, without and with a flood of updates.
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
	go func() { // updates aren't timed here, and must not block the source; ends with the process
		for range subject.updates {
		}
	}()
	phases := make(chan string, 2*rounds+2)
	go watchPhases(plane, phases) // ends with the control plane's output
	return sendDuringPhases(subject.router, phases)
}

// startApplication runs the one server that requests go to.
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

func floodScript(addr string, rounds int) string {
	script := "cluster rooms\ncluster flood\nendpoints rooms " + addr + "\n" +
		"many flood 1000 1001 DRAINING\npush\nexpect acks 2 within 10s\n"
	return script + strings.Repeat("wait 2s\nflood flood 1000 20 2s DRAINING\n", rounds) // 20,000 endpoints a second
}

func watchPhases(plane *controlPlane, phases chan<- string) {
	defer close(phases)
	for line := range plane.lines {
		for _, phase := range []string{phaseCalm, phaseFlood, phaseEnd} {
			if strings.Contains(line, phase) {
				phases <- phase
			}
		}
	}
}

// sendDuringPhases sends one request after the other until the last phase ends, and prints what each flood showed.
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
		began := time.Now()
		req := router.Request{ID: fmt.Sprint(id), Class: "read", Tenant: "t", Target: "/"}
		if _, err := engine.Do(context.Background(), req); err != nil {
			return err
		}
		result.latencies = append(result.latencies, time.Since(began))
		time.Sleep(requestInterval)
	}
}

type floodResult struct {
	phase     string
	latencies []time.Duration // of the phase's requests
	calmP99   time.Duration
	ratios    []float64 // of p99 with updates to that without, one a round
}

func (r *floodResult) endPhase() {
	p99 := benchkit.Quantile(r.latencies, 0.99)
	switch r.phase {
	case phaseCalm:
		r.calmP99 = p99
	case phaseFlood:
		r.ratios = append(r.ratios, float64(p99)/float64(r.calmP99))
		fmt.Printf("p99 %v without updates, %v with; median %v with, %d requests\n",
			r.calmP99, p99, benchkit.Quantile(r.latencies, 0.5), len(r.latencies))
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

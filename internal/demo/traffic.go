package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	progressInterval = 200 * time.Millisecond

	// maxInFlight is the maximum number of requests in flight. At the maximum, requests are sent later than the rate
	// requires.
	maxInFlight = 2048

	// responseGrace is the time for which clients wait after a request's deadline before they count the request as lost.
	responseGrace = time.Second
)

// request is one request of the generated traffic.
type request struct {
	id, class, tenant, key string
	deadline               time.Duration
}

// drawRequest generates the n-th request at random. Of ten requests, on average five are searches, three are bookings
// and two are cancellations. The main tenant sends six of ten requests.
func drawRequest(random *rand.Rand, n int) request {
	drawn := request{
		id: fmt.Sprintf("demo-%d-%x", n, random.Uint32()), class: classSearch, tenant: mainTenant, deadline: searchDeadline,
	}
	switch p := random.Float64(); {
	case p < 0.3:
		drawn.class, drawn.deadline = classBook, bookDeadline
	case p < 0.5:
		drawn.class, drawn.deadline, drawn.key = classCancel, cancelDeadline, fmt.Sprintf("key-%d", n)
	}
	if p := random.Float64(); p > 0.6 {
		drawn.tenant = otherTenants[random.IntN(len(otherTenants))]
	}
	return drawn
}

// runTraffic sends requests at the configured rate without waiting for responses. It returns after the last response.
func (d *demonstration) runTraffic(ctx context.Context, out io.Writer, terminal bool) {
	random := rand.New(rand.NewPCG(d.config.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	d.trafficStart = time.Now()
	next := d.trafficStart
	for n := 0; ctx.Err() == nil && next.Sub(d.trafficStart) < d.config.Duration; n++ {
		d.waitUntil(ctx, next, tick.C, out, terminal)
		drawn := drawRequest(random, n)
		slots <- struct{}{}
		requests.Go(func() { d.send(client, drawn); <-slots })
		next = next.Add(time.Duration(random.ExpFloat64() / d.config.Rate * float64(time.Second)))
	}
	requests.Wait()
	d.writeProgress(out, terminal)
	if terminal {
		_, _ = fmt.Fprintln(out)
	}
}

// waitUntil waits until next or until ctx ends. It writes the progress at each tick.
func (d *demonstration) waitUntil(
	ctx context.Context, next time.Time, tick <-chan time.Time, out io.Writer, terminal bool,
) {
	for wait := time.Until(next); wait > 0 && ctx.Err() == nil; wait = time.Until(next) {
		timer := time.NewTimer(wait)
		select {
		case <-tick:
			d.writeProgress(out, terminal)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// send sends a request to the node and records the result.
func (d *demonstration) send(client *http.Client, sent request) {
	d.mu.Lock()
	d.inFlight++
	d.sent++
	if sent.class == classBook {
		d.bookings[sent.id] = true
	}
	d.mu.Unlock()
	// A node that enforces the request's deadline responds before this timeout.
	ctx, cancel := context.WithTimeout(context.Background(), sent.deadline+responseGrace)
	defer cancel()
	began := time.Now()
	status, err := sent.do(ctx, client, d.nodeAddr)
	latency := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.classes[sent.class].record(status, err, latency, d.attempts[sent.id])
}

// do sends the request with the platform's HTTP headers and reads the whole response.
func (q request) do(ctx context.Context, client *http.Client, addr string) (status int, err error) {
	method := http.MethodPost
	if q.class == classSearch {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Class", q.class)
	req.Header.Set("X-Tenant", q.tenant)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

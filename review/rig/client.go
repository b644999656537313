package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a usual client.
type request struct {
	id, class, body string
	deadline        time.Duration
}

// outcome is what a client got for a request. err is set if there was no whole answer.
type outcome struct {
	status int
	body   []byte
	err    error
	took   time.Duration
}

// client is a usual client: one request at a time on a connection that it keeps.
type client struct {
	http   *http.Client
	listen string
}

func newClient(listen string) *client {
	transport := &http.Transport{
		MaxConnsPerHost:    1,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &client{&http.Client{Transport: transport}, listen}
}

// send sends r and waits for the answer, half a second longer than the request's time.
func (c *client) send(r request) outcome {
	method, body := http.MethodPost, io.Reader(strings.NewReader(r.body))
	if r.class == "hladanie" {
		method, body = http.MethodGet, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.listen+"/api?q="+r.id, body)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Class", r.class)
	req.Header.Set("X-Tenant", "dielna-bystrica")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.class == "zrusenie" {
		req.Header.Set("Idempotency-Key", "key-"+r.id)
	}
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return outcome{resp.StatusCode, raw, err, time.Since(began)}
}

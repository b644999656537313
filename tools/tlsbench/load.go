package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// client returns an HTTP client that trusts the benchmark's certificate authority.
func (b *bench) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, TLSClientConfig: &tls.Config{RootCAs: b.roots},
	}}
}

// outcome is the result of one request. sentAt counts from the start of the load. ok is set if the response has
// status 200.
type outcome struct {
	sentAt, latency time.Duration
	ok              bool
}

// startLoad starts clients that send requests until ctx ends. Each client uses one connection and pauses between
// requests. The clients call record concurrently. The returned group waits for all clients.
func (b *bench) startLoad(
	ctx context.Context, addr string, clients int, pause time.Duration, record func(outcome),
) *sync.WaitGroup {
	var group sync.WaitGroup
	began := time.Now()
	for i := range clients {
		group.Go(func() {
			conn, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: b.roots})
			if err != nil {
				record(outcome{})
				return
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			for k := 0; ctx.Err() == nil; k++ {
				sent := time.Now()
				status, err := request(conn, in, fmt.Sprintf("l%d-%d", i, k))
				record(outcome{sentAt: sent.Sub(began), latency: time.Since(sent), ok: status == http.StatusOK})
				if err != nil {
					return
				}
				time.Sleep(pause)
			}
		})
	}
	return &group
}

// request sends one request and reads the whole response.
func request(conn net.Conn, in *bufio.Reader, id string) (status int, err error) {
	if _, err := fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\n\r\n", id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// arrival is a request that a server has received whole.
type arrival struct {
	id, class, target, body, deadline string
}

// server is a stand-in for an app server. For each request it calls answer, which writes the response.
type server struct {
	listener net.Listener
	answer   func(conn net.Conn, r arrival)

	mu    sync.Mutex
	conns int
	runs  map[string]int // how often each id has been run
}

func startServer(ln net.Listener, answer func(conn net.Conn, r arrival)) *server {
	s := &server{listener: ln, answer: answer, runs: make(map[string]int)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.answer(conn, arrival{
			id: r.Header.Get("X-Request-Id"), target: r.RequestURI, body: string(body),
			deadline: r.Header.Get("X-Deadline-Ms"),
		})
	}
}

// run records that the request id was run, and returns how often it has been run.
func (s *server) run(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return s.runs[id]
}

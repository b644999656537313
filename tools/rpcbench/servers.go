package main

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"cobaltward/msgpackrpc"
	"cobaltward/tools/internal/benchkit"
)

// serverCount is the number of stub servers for each protocol.
const serverCount = 32

// startServers starts the servers of one protocol and returns their addresses. serve handles each connection. The
// servers run until the process exits.
func startServers(serve func(net.Conn)) ([]string, error) {
	var addrs []string
	for range serverCount {
		ln, err := benchkit.ListenLoopback()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, ln.Addr().String())
		go benchkit.AcceptLoop(ln, serve)
	}
	return addrs, nil
}

// serveHTTP answers each request on a connection immediately.
func serveHTTP(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 8<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// serveMsgpack answers each call on a connection immediately.
func serveMsgpack(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := msgpackrpc.NewReader(conn)
	reply := msgpackrpc.Reply{Body: []byte("ok")}
	for {
		raw, err := in.Next()
		if err != nil {
			return
		}
		message, err := msgpackrpc.Parse(raw)
		if err != nil || message.Kind != msgpackrpc.Request {
			continue
		}
		if _, err := conn.Write(msgpackrpc.AppendReply(nil, message.ID, &reply)); err != nil {
			return
		}
	}
}

// serveNothing reads until the connection is closed and never answers.
func serveNothing(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

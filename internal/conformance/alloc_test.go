package conformance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"cobaltward/internal/testkit"
)

// benchmarkRequest is the format of a request. Its arguments are the number of requests and the index of the request,
// which together form the request ID.
const benchmarkRequest = "GET /api?q=1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d-%d\r\nX-Class: read\r\n" +
	"X-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"

// answerHeads sends a response after each request head. It does not read bodies.
func answerHeads(conn net.Conn, in *bufio.Reader) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == 2 {
			if _, err := conn.Write(response); err != nil {
				return
			}
		}
	}
}

// BenchmarkRequest sends one request after another through each build, on one loopback connection. The reported
// allocations are those of the whole process, including the client and the server.
func BenchmarkRequest(b *testing.B) {
	addr := testkit.RawServer(b, answerHeads)
	for _, build := range builds {
		b.Run(build.name, func(b *testing.B) {
			config := testConfig(b, knownList(addr))
			config.Settings.Tenants[0].Quota = 1e9
			node, _ := build.start(b, config)
			conn, err := net.Dial("tcp", node)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := fmt.Fprintf(conn, benchmarkRequest, b.N, i); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					b.Fatal(resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			b.StopTimer()
		})
	}
}

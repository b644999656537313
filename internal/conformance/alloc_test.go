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

// BenchmarkRequest is one request through a build over loopback, in turn on one connection. Allocations
// are of the whole process, so those of its plain client and server are among them.
func BenchmarkRequest(b *testing.B) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	addr := testkit.RawServer(b, func(c net.Conn, in *bufio.Reader) {
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == 2 {
				if _, err := c.Write(answer); err != nil {
					return
				}
			}
		}
	})
	for _, build := range builds {
		b.Run(build.name, func(b *testing.B) {
			c := testConfig(b, knownList(addr))
			c.Settings.Tenants[0].Quota = 1e9
			node, _ := build.start(b, c)
			conn, err := net.Dial("tcp", node)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				fmt.Fprintf(conn, "GET /api?q=1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d-%d\r\nX-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n", b.N, i)
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					b.Fatal(resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			b.StopTimer()
		})
	}
}

package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

// TestAttempt_AddressTakenByNewProcess guards against a request that reaches a new process at the address of a server
// that has gone. The endpoint list names the new process while the connection for the old one is being opened.
func TestAttempt_AddressTakenByNewProcess(t *testing.T) {
	for name, play := range map[string]struct {
		successor string
		removed   bool // whether an earlier change of the list has removed the old process
	}{
		"other ID": {successor: "s1"}, "same ID": {successor: "s0"}, "removed before": {successor: "s1", removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				for testkit.ReadFullRequest(r) {
					received.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			transport := testTransport(t, addr)
			transport.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
				started := testEndpoints(addr)
				if play.removed {
					started[0].Availability = policy.Removed
					transport.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: started})
					started[0].Availability = policy.Running
				}
				started[0].ID, started[0].Started, started[0].Cell = play.successor, time.Now(), policy.NewCell(2)
				transport.Update(router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: started})
				return nil
			}
			result := attempt(t, transport, testRequest(http.MethodPost, "r1", "x"))
			if received.Load() != 0 || !result.Code.NotExecuted() {
				t.Errorf("the new process received %d requests for the old one; result %v, want none and no execution",
					received.Load(), result.Code)
			}
		})
	}
}

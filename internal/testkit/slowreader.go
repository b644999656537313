package testkit

import (
	"context"
	"net"
	"syscall"
	"testing"
)

// slowReadBuffer is the receive buffer of clients that read slowly, in bytes.
const slowReadBuffer = 8 << 10

// DialSlowReader connects a client whose kernel accepts few bytes that the client has not read. The connection is
// closed when the test ends.
func DialSlowReader(t testing.TB, addr string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: limitReceiveBuffer}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// limitReceiveBuffer is the Control function of a net.Dialer that sets the size of the receive buffer.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReadBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

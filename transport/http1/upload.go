package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// earlyFor is how long the answer of a server may take that has stopped reading a body.
const earlyFor = 200 * time.Millisecond

const uploadChunk = 32 << 10

var chunks = sync.Pool{New: func() any { return new([uploadChunk]byte) }}

// upload writes a request with a long body, as it comes. Where that ends before the last byte, ok is false and the
// result says how: nothing can have run.
func (u *Transport) upload(ctx context.Context, c *conn, head *bytes.Buffer, r *router.Request) (_ router.Result, ok bool) {
	src, err := r.Upload.Open()
	if err != nil {
		return router.Result{Code: policy.Superseded}, false // no server is to blame
	}
	defer c.SetWriteDeadline(time.Time{})
	chunked := r.Upload.Length() < 0
	_ = c.SetWriteDeadline(time.Now().Add(stallFor))
	if _, err := c.Write(head.Bytes()); err != nil {
		return u.early(ctx, c, err), false
	}
	buf := chunks.Get().(*[uploadChunk]byte)
	defer chunks.Put(buf)
	for left := r.Upload.Length(); ; {
		n, err := src.Read(buf[:])
		if left -= int64(n); left == 0 && n == 0 {
			return router.Result{}, true // its last byte is written already, and the answer may be there
		}
		if !c.quiet() { // the server has seen enough
			return u.early(ctx, c, errRequest), false
		}
		end := errors.Is(err, io.EOF) || !chunked && left == 0
		if err != nil && !end {
			return router.Result{Code: policy.Superseded}, false // the client has broken off, or the body is lost
		}
		_ = c.SetWriteDeadline(time.Now().Add(stallFor))
		if err := writePiece(c, buf[:n], chunked, end); err != nil {
			return u.early(ctx, c, err), false
		}
		if end {
			return router.Result{}, true
		}
	}
}

// writePiece writes a part of a body.
func writePiece(c io.Writer, p []byte, chunked, last bool) error {
	if !chunked {
		_, err := c.Write(p)
		return err
	}
	var frame bytes.Buffer
	if len(p) > 0 {
		fmt.Fprintf(&frame, "%x\r\n", len(p))
		frame.Write(p)
		frame.WriteString("\r\n")
	}
	if last {
		frame.WriteString("0\r\n\r\n")
	}
	_, err := c.Write(frame.Bytes())
	return err
}

// early is the outcome of an attempt whose last byte was not written: the server may have said why.
func (u *Transport) early(ctx context.Context, c *conn, err error) router.Result {
	_ = c.SetReadDeadline(time.Now().Add(earlyFor))
	in := bufio.NewReader(io.LimitReader(c, maxHeader))
	resp, readErr := http.ReadResponse(in, nil)
	if readErr == nil && resp.Header.Get("X-Not-Run") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) {
		return router.Result{Code: policy.Overloaded}
	}
	return router.Result{Code: broken(ctx, err, false)}
}

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
	"cobaltward/transport/outcome"
)

const (
	// earlyResponseTimeout is the maximum wait for the response of a server that no longer reads a request body.
	earlyResponseTimeout = 200 * time.Millisecond
	uploadChunkSize      = 16 << 10 // maximum bytes of one read from the body
)

var uploadChunks = sync.Pool{New: func() any { return new([uploadChunkSize]byte) }}

// upload writes head and the body of r, which may still be arriving. If sent is false, the last byte was not written,
// so the server cannot have run the request. failure is then the outcome of the attempt.
func (t *Transport) upload(
	ctx context.Context, connection *conn, head *bytes.Buffer, r *router.Request,
) (failure router.Result, sent bool) {
	body, err := r.Upload.Open()
	if err != nil {
		return router.Result{Code: policy.Superseded}, false // the server is not at fault
	}
	guard := newWriteStallGuard(connection, stallTimeout, t.pauses)
	defer guard.stop()
	if err := outcome.BeginWrite(ctx); err != nil {
		return router.Result{Code: failureCode(ctx, err, false)}, false
	}
	guard.beginWrite()
	_, err = connection.Write(head.Bytes())
	guard.endWrite()
	outcome.EndWrite(ctx)
	if err != nil {
		return earlyResponse(ctx, connection, err), false
	}
	return uploadBody(ctx, connection, guard, body, r.Upload.Length())
}

// uploadBody writes body, which has length bytes. A negative length means that the length is unknown: the body is
// then written with the chunked coding. sent and failure are as for upload.
func uploadBody(
	ctx context.Context, connection *conn, guard *writeStallGuard, body io.Reader, length int64,
) (failure router.Result, sent bool) {
	chunked := length < 0
	chunk := uploadChunks.Get().(*[uploadChunkSize]byte)
	defer uploadChunks.Put(chunk)
	for remaining := length; ; {
		n, err := body.Read(chunk[:])
		remaining -= int64(n)
		if remaining == 0 && n == 0 {
			return router.Result{}, true // the last byte was written in the previous round
		}
		if !connection.isIdle() {
			return earlyResponse(ctx, connection, errEarlyResponse), false
		}
		isLast := errors.Is(err, io.EOF) || !chunked && remaining == 0
		if err != nil && !isLast {
			return router.Result{Code: policy.Superseded}, false // the client disconnected, or its body is unreadable
		}
		if err := outcome.BeginWrite(ctx); err != nil {
			return router.Result{Code: failureCode(ctx, err, false)}, false
		}
		guard.beginWrite()
		err = writeBodyChunk(connection, chunk[:n], chunked, isLast)
		guard.endWrite()
		outcome.EndWrite(ctx)
		if err != nil {
			return earlyResponse(ctx, connection, err), false
		}
		if isLast {
			return router.Result{}, true
		}
	}
}

// writeBodyChunk writes data, a part of a body, to w. With the chunked coding, isLast adds the final chunk.
func writeBodyChunk(w io.Writer, data []byte, chunked, isLast bool) error {
	if !chunked {
		_, err := w.Write(data)
		return err
	}
	var frame bytes.Buffer
	if len(data) > 0 {
		fmt.Fprintf(&frame, "%x\r\n", len(data))
		frame.Write(data)
		frame.WriteString("\r\n")
	}
	if isLast {
		frame.WriteString("0\r\n\r\n")
	}
	_, err := w.Write(frame.Bytes())
	return err
}

// earlyResponse returns the outcome of an attempt that was not written completely because of err. It looks for a
// response on c, by which the server may say that it did not run the request.
func earlyResponse(ctx context.Context, c *conn, err error) router.Result {
	_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	in := bufio.NewReader(io.LimitReader(c, maxHeadBytes))
	resp, readErr := http.ReadResponse(in, nil) //nolint:bodyclose // Close would read the rest of the body
	if readErr == nil && resp.Header.Get("X-Not-Run") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) {
		return router.Result{Code: policy.Overloaded}
	}
	return router.Result{Code: failureCode(ctx, err, false)}
}

package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"
	"cobaltward/transport/secure"
)

// Attempt sends r to server once, and waits for the response until ctx ends. The end of ctx closes the connection,
// which tells the server that the request was cancelled. A long response is returned as a stream.
func (t *Transport) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	connection, err := t.acquire(ctx, server)
	switch {
	case errors.Is(err, errNoConnection) && ctx.Err() == nil:
		return router.Result{Code: policy.Superseded} // nothing was sent, and the server is not at fault
	case errors.As(err, new(*secure.UntrustedError)) && ctx.Err() == nil:
		return router.Result{Code: policy.Untrusted}
	case err != nil:
		return router.Result{Code: failureCode(ctx, err, false)}
	}
	stop := afterFunc(ctx, func() { _ = connection.Close() })
	result, reusable := t.roundTrip(ctx, connection, server, r)
	if stream := result.Answer.Stream; stream != nil {
		if stop() {
			return result
		}
		_ = stream.Close() // ctx ended during the reading of the beginning
		return router.Result{Code: failureCode(ctx, net.ErrClosed, true)}
	}
	t.release(connection, server, stop() && reusable)
	return result
}

// afterFunc is context.AfterFunc. If ctx has an AfterFunc method, as the contexts of the router have, afterFunc calls
// the method directly. That avoids the cost of context.AfterFunc.
func afterFunc(ctx context.Context, f func()) (stop func() bool) {
	if own, ok := ctx.(router.AfterFuncContext); ok {
		return own.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// roundTrip writes r to connection and reads the response. reusable reports whether connection can serve another
// request.
func (t *Transport) roundTrip(
	ctx context.Context, connection *conn, server string, r *router.Request,
) (result router.Result, reusable bool) {
	if failure, sent, reusable := t.send(ctx, connection, r); !sent {
		return failure, reusable
	}
	t.written.Add(1)
	in := t.readers.Get().(*bufio.Reader)
	resp, err := t.readResponse(in, connection, server, r)
	if resp.stream == nil {
		in.Reset(nil)
		t.readers.Put(in)
	}
	if err != nil {
		return router.Result{Code: failureCode(ctx, err, true)}, false
	}
	connection.lastUsed = time.Now()
	return t.resultOf(resp), !resp.head.closeAfter
}

// send writes r to connection. If sent is false, the last byte was not written, so the server cannot have run the
// request. failure is then the outcome of the attempt, and reusable reports whether connection can serve another
// request.
func (t *Transport) send(
	ctx context.Context, connection *conn, r *router.Request,
) (failure router.Result, sent, reusable bool) {
	out := t.writers.Get().(*bytes.Buffer)
	defer t.recycleWriter(out)
	out.Reset()
	if !writeRequest(ctx, out, connection.server.Addr, r) {
		return router.Result{Code: policy.Superseded}, false, true // invalid request: the server is not at fault
	}
	// Time may have passed since the router decided on this attempt, for example during a pause of the process.
	if err := t.beginWrite(ctx, connection.server); err != nil {
		reusable = errors.Is(err, errServerDraining) || errors.Is(err, outcome.ErrAbandoned)
		return router.Result{Code: outcome.NotBegunCode(ctx, err)}, false, reusable
	}
	if !connection.isTrusted(time.Now()) {
		outcome.EndWrite(ctx)
		return router.Result{Code: policy.Untrusted}, false, false
	}
	if r.Upload != nil {
		outcome.EndWrite(ctx) // upload calls BeginWrite and EndWrite for each part
		failure, sent = t.upload(ctx, connection, out, r)
		return failure, sent, false
	}
	_, err := connection.Write(out.Bytes())
	outcome.EndWrite(ctx)
	if err != nil {
		return router.Result{Code: failureCode(ctx, err, false)}, false, false
	}
	return router.Result{}, true, false
}

// maxPooledWriter is the maximum size of a buffer for requests that is kept for the next request, in bytes. Larger
// buffers would keep the memory of long bodies in use.
const maxPooledWriter = 24 << 10

func (t *Transport) recycleWriter(out *bytes.Buffer) {
	if out.Cap() <= maxPooledWriter {
		t.writers.Put(out)
	}
}

// beginWrite returns an error if nothing more may be written to s. If it returns nil, the caller must call
// outcome.EndWrite after the write.
func (t *Transport) beginWrite(ctx context.Context, s *server) error {
	if err := outcome.BeginWrite(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers.WritesForbidden(s, t.drainWriteTime) {
		outcome.EndWrite(ctx)
		return errServerDraining
	}
	return nil
}

// resultOf returns the result of an attempt that got resp.
func (t *Transport) resultOf(resp response) router.Result {
	result := router.Result{Code: policy.ServerError}
	if resp.head.loadReport != "" {
		t.mu.Lock()
		fields := t.loadReportFields
		t.mu.Unlock()
		result.LoadReport = outcome.ParseLoadReport(resp.head.loadReport, fields)
	}
	switch resp.head.status {
	case http.StatusOK:
		result.Code = policy.OK
		result.Answer = router.Answer{Body: resp.body, ContentType: resp.head.contentType, Stream: resp.stream}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.head.notRun { // without X-Not-Run, the server may have run the request
			result.Code = policy.Overloaded
		}
	}
	return result
}

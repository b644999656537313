package middleware

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cobaltward/body"
	"cobaltward/router"
)

// answerStallTimeout limits the write of each part of a streamed answer, and so how long a client may read nothing.
const answerStallTimeout = 15 * time.Second

// streamBuffers holds the buffers through which streamed answers are copied.
var streamBuffers = sync.Pool{New: func() any { return new([body.ChunkSize]byte) }}

// Status returns the HTTP status of an answer.
func Status(answer router.Answer) int {
	switch answer.Outcome {
	case router.Served:
		return http.StatusOK
	case router.Rejected:
		if answer.RetryAfter > 0 {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case router.Overloaded:
		return http.StatusServiceUnavailable
	case router.Expired:
		return http.StatusGatewayTimeout
	case router.Conflict:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

// FormatRetryAfter returns the value of a Retry-After header: seconds, with decimals if needed.
func FormatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
}

// setAnswerHeaders sets the headers of an answer that is not streamed.
func setAnswerHeaders(header http.Header, answer router.Answer) {
	if answer.ContentType != "" {
		header["Content-Type"] = []string{answer.ContentType}
	}
	if answer.RetryAfter > 0 {
		header["Retry-After"] = []string{FormatRetryAfter(answer.RetryAfter)}
	}
	header["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
}

// addCloseHeader makes the answer close its connection if the router is closing. It is called just before the answer
// is written, so that a drain that began during the request does not have to wait for the connection.
func (f *Frontend) addCloseHeader(w http.ResponseWriter) {
	if f.engine.Phase() >= router.Closing {
		w.Header().Set("Connection", "close")
	}
}

func (f *Frontend) writeAnswer(w http.ResponseWriter, answer router.Answer) {
	f.addCloseHeader(w)
	if answer.Stream != nil {
		f.writeStream(w, answer)
		return
	}
	if f.writeTimeout > 0 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeTimeout))
	}
	setAnswerHeaders(w.Header(), answer)
	w.WriteHeader(Status(answer))
	_, _ = w.Write(answer.Body) // the client may have disconnected; the request is over either way
}

// writeStream copies a long answer to the client as it arrives. If the answer breaks off, the connection is aborted,
// so that the client can tell that the answer is incomplete.
func (f *Frontend) writeStream(w http.ResponseWriter, answer router.Answer) {
	stream := answer.Stream
	defer func() { _ = stream.Close() }()
	if answer.ContentType != "" {
		w.Header()["Content-Type"] = []string{answer.ContentType}
	}
	if length := stream.Length(); length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(http.StatusOK)
	conn := http.NewResponseController(w)
	buf := streamBuffers.Get().(*[body.ChunkSize]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := stream.Read(buf[:])
		if n > 0 && writeAndFlush(w, conn, buf[:n]) != nil {
			return // the client has disconnected
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // makes net/http abort the connection
		}
	}
}

// writeAndFlush writes a part of an answer, with a write deadline of answerStallTimeout.
func writeAndFlush(w http.ResponseWriter, conn *http.ResponseController, part []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(answerStallTimeout))
	if _, err := w.Write(part); err != nil {
		return err
	}
	return conn.Flush()
}

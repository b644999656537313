package middleware

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cobaltward/router"
)

// answerStallTimeout is the maximum time for writing one part of a streamed answer. It limits how long a client may
// stop reading.
const answerStallTimeout = 15 * time.Second

// minLongAnswer is the minimum size of an answer that may wait in the kernel for a slow client, in bytes. net/http
// buffers a shorter answer until the handler returns, and the kernel sends it at once.
const minLongAnswer = 4 << 10

// streamBufferSize is the size of the buffer through which an answer is streamed, in bytes. Each client that reads
// slowly occupies one.
const streamBufferSize = 16 << 10

// streamBuffers holds the buffers for copying streamed answers.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

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

// FormatRetryAfter returns wait as the value of a Retry-After header, in seconds, with decimals if needed.
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

// addCloseHeader makes the answer close the connection if the router is closing. It is called just before the answer
// is written. A drain that began during the request then does not wait for the connection.
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
	_, _ = w.Write(answer.Body) // fails only if the client has disconnected
}

// writeStream copies a long answer to the client as it arrives. If the answer breaks off, writeStream aborts the
// connection, which shows the client that the answer is incomplete.
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
	buf := streamBuffers.Get().(*[streamBufferSize]byte)
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

// writeAndFlush writes part, a part of an answer, with a write deadline of answerStallTimeout.
func writeAndFlush(w http.ResponseWriter, conn *http.ResponseController, part []byte) error {
	_ = conn.SetWriteDeadline(time.Now().Add(answerStallTimeout))
	if _, err := w.Write(part); err != nil {
		return err
	}
	return conn.Flush()
}

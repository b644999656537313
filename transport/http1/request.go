package http1

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"cobaltward/router"
)

// writeRequest appends r to out as an HTTP/1.1 request, without the body of an upload. addr is the default host. No
// headers are added that the client did not send, such as User-Agent.
//
// writeRequest returns false if a field would break the framing of the request. Frontends of other protocols may pass
// any bytes.
func writeRequest(ctx context.Context, out *bytes.Buffer, addr string, r *router.Request) bool {
	target, host := r.Target, r.Authority
	if target == "" {
		target = "/"
	}
	if host == "" {
		host = addr
	}
	if !isValidMethod(r.Method) || !isValidTargetOrHost(target) || target[0] != '/' || !isValidTargetOrHost(host) ||
		!router.ValidID(r.ID) ||
		!isValidHeaderValue(r.IdempotencyKey) || !isValidHeaderValue(r.ContentType) {
		return false
	}
	for _, part := range [...]string{
		r.Method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\nX-Request-Id: ", r.ID,
	} {
		out.WriteString(part)
	}
	if r.IdempotencyKey != "" {
		out.WriteString("\r\nIdempotency-Key: ")
		out.WriteString(r.IdempotencyKey)
	}
	if r.ContentType != "" {
		out.WriteString("\r\nContent-Type: ")
		out.WriteString(r.ContentType)
	}
	writeDeadline(ctx, out, r)
	writeBodyLength(out, r)
	out.WriteString("\r\n\r\n")
	out.Write(r.Body)
	return true
}

// writeDeadline writes the remaining time of the request as X-Deadline-Ms, at least 1 ms.
func writeDeadline(ctx context.Context, out *bytes.Buffer, r *router.Request) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	timeLeft := time.Until(deadline)
	if r.Upload != nil && r.Timeout > 0 { // the deadline of an attempt with an upload covers the upload too
		timeLeft = min(timeLeft, r.Timeout)
	}
	out.WriteString("\r\nX-Deadline-Ms: ")
	out.Write(strconv.AppendInt(out.AvailableBuffer(), max(1, timeLeft.Milliseconds()), 10))
}

func writeBodyLength(out *bytes.Buffer, r *router.Request) {
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length()
	}
	switch {
	case length < 0:
		out.WriteString("\r\nTransfer-Encoding: chunked")
	case length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		out.WriteString("\r\nContent-Length: ")
		out.Write(strconv.AppendInt(out.AvailableBuffer(), length, 10))
	}
}

// isValidMethod reports whether s is a non-empty string of ASCII letters.
func isValidMethod(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < 'A' || s[i] > 'Z') && (s[i] < 'a' || s[i] > 'z') {
			return false
		}
	}
	return s != ""
}

// isValidTargetOrHost reports whether s can be a request target or a host: not empty, without spaces and control
// characters.
func isValidTargetOrHost(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isValidHeaderValue reports whether s can be the value of a header: without control characters, except tabs.
func isValidHeaderValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

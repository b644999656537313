package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"cobaltward/internal/ascii"
)

// responseHead is the part of a response's head that the transport uses.
type responseHead struct {
	status      int
	length      int  // of the body; -1: unknown
	closeAfter  bool // the connection serves no further request
	contentType string
	loadReport  string // X-Load
	notRun      bool   // X-Not-Run: 1
}

const (
	protocolPrefix   = "HTTP/1.1 "
	statusEnd        = len(protocolPrefix) + 3 // of the status in a status line
	maxLengthDigits  = 7                       // of a Content-Length that readPlainHead accepts
	headEnd          = "\r\n\r\n"
	lineEnd          = "\r\n"
	headerWhitespace = " \t"
)

// readPlainHead reads a head of the plainest form: it is complete in what the first read returned, of HTTP/1.1, with a
// final status that has a body, one Content-Length of digits, and no header that could change where the body ends. It
// reports false, and consumes nothing, wherever net/http has to decide. Both agree on what they both accept (FuzzHead).
func readPlainHead(in *bufio.Reader) (head responseHead, ok bool) {
	if _, err := in.Peek(1); err != nil {
		return responseHead{}, false
	}
	raw, _ := in.Peek(in.Buffered())
	end := bytes.Index(raw, []byte(headEnd))
	if end < 0 {
		return responseHead{}, false
	}
	line, rest, _ := bytes.Cut(raw[:end+len(lineEnd)], []byte(lineEnd))
	status, ok := parsePlainStatusLine(line)
	if !ok {
		return responseHead{}, false
	}
	parsed := plainHead{responseHead: responseHead{status: status, length: -1}}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte(lineEnd))
		if !parsed.addLine(line) {
			return responseHead{}, false
		}
	}
	if parsed.length < 0 {
		return responseHead{}, false
	}
	_, err := in.Discard(end + len(headEnd))
	return parsed.responseHead, err == nil
}

// parsePlainStatusLine returns a final status that has a body.
func parsePlainStatusLine(line []byte) (status int, ok bool) {
	if len(line) <= statusEnd || string(line[:len(protocolPrefix)]) != protocolPrefix {
		return 0, false
	}
	if line[statusEnd] != ' ' || !isPlainText(line) {
		return 0, false
	}
	number, ok := ascii.ParseDecimal(line[len(protocolPrefix):statusEnd], 3)
	status = int(number)
	if !ok || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, false
	}
	return status, true
}

// plainHead collects the headers of a head of the plainest form.
type plainHead struct {
	responseHead
	seen headerSet
}

// headerSet is a set of the headers that may occur once.
type headerSet uint8

const (
	headerLoad headerSet = 1 << iota
	headerNotRun
	headerConnection
	headerContentType
	headerContentLength
)

// addLine adds a header line. It reports false where the head is not of the plainest form.
func (h *plainHead) addLine(line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isPlainText(line) || !isPlainName(line[:colon]) {
		return false
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], headerWhitespace)
	switch {
	case ascii.EqualFold(name, "content-length"):
		length, ok := ascii.ParseDecimal(value, maxLengthDigits)
		h.length = int(length)
		return ok && h.isFirst(headerContentLength)
	case ascii.EqualFold(name, "content-type"):
		h.contentType = string(value)
		return h.isFirst(headerContentType)
	case ascii.EqualFold(name, "x-load"):
		h.loadReport = string(value)
		return h.isFirst(headerLoad)
	case ascii.EqualFold(name, "x-not-run"):
		h.notRun = string(value) == "1"
		return h.isFirst(headerNotRun)
	case ascii.EqualFold(name, "connection"):
		h.closeAfter = ascii.EqualFold(value, "close")
		return (h.closeAfter || ascii.EqualFold(value, "keep-alive")) && h.isFirst(headerConnection)
	}
	return !ascii.EqualFold(name, "transfer-encoding") &&
		!ascii.EqualFold(name, "trailer") &&
		!ascii.EqualFold(name, "upgrade")
}

// isFirst adds a header to those seen. It reports whether it was not among them.
func (h *plainHead) isFirst(header headerSet) bool {
	if h.seen&header != 0 {
		return false
	}
	h.seen |= header
	return true
}

// isPlainText reports whether a line has only printable ASCII and tabs.
func isPlainText(line []byte) bool {
	for _, char := range line {
		if char < ' ' && char != '\t' || char > '~' {
			return false
		}
	}
	return true
}

// isPlainName reports whether the name of a header has only letters, digits and dashes.
func isPlainName(name []byte) bool {
	for _, char := range name {
		if (char|0x20 < 'a' || char|0x20 > 'z') && (char < '0' || char > '9') && char != '-' {
			return false
		}
	}
	return true
}

// readHead reads a head by net/http, including the 1xx responses ahead of it.
func readHead(in *bufio.Reader, limit *io.LimitedReader, method string) (responseHead, *http.Response, error) {
	for interim := 0; ; interim++ {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return responseHead{}, nil, readError(err, limit.N == 0)
		}
		if resp.StatusCode >= 200 {
			return headOf(resp), resp, nil
		}
		isSwitch := resp.StatusCode == http.StatusSwitchingProtocols
		if interim == maxInterimResponses || resp.StatusCode < 100 || isSwitch {
			return responseHead{}, nil, errMalformedResponse
		}
		limit.N = maxHeadBytes
	}
}

func headOf(resp *http.Response) responseHead {
	return responseHead{
		status:      resp.StatusCode,
		length:      int(resp.ContentLength),
		closeAfter:  resp.Close,
		contentType: resp.Header.Get("Content-Type"),
		loadReport:  resp.Header.Get("X-Load"),
		notRun:      resp.Header.Get("X-Not-Run") == "1",
	}
}

// finalChunk ends a chunked body without trailers.
var finalChunk = []byte("\r\n0\r\n\r\n")

// hasFinalChunk reports whether the buffered bytes seem to include the end of a chunked body.
func hasFinalChunk(in *bufio.Reader) bool {
	buffered, _ := in.Peek(in.Buffered())
	return bytes.HasSuffix(buffered, finalChunk)
}

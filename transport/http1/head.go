package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"cobaltward/internal/ascii"
)

// responseHead contains the parts of a response head that the transport uses.
type responseHead struct {
	status      int
	length      int  // length of the body in bytes; -1: unknown
	closeAfter  bool // whether the connection must be closed after this response
	contentType string
	loadReport  string // value of the X-Load header
	notRun      bool   // whether the head has X-Not-Run: 1
}

const (
	protocolPrefix   = "HTTP/1.1 "
	statusEnd        = len(protocolPrefix) + 3 // length of a status line up to the end of the three-digit status
	maxLengthDigits  = 7                       // maximum digits of a Content-Length in a simple head
	headEnd          = "\r\n\r\n"
	lineEnd          = "\r\n"
	headerWhitespace = " \t"
)

// readSimpleHead is the fast path for simple heads. For any other head it returns false and consumes nothing; the
// caller then uses net/http. FuzzHead checks that net/http parses every simple head to the same result.
//
// A simple head arrives complete with the first read and has the version HTTP/1.1. Its status is final and allows a
// body. It has exactly one Content-Length, of digits only. No other header can change where the body ends.
func readSimpleHead(in *bufio.Reader) (head responseHead, ok bool) {
	if _, err := in.Peek(1); err != nil {
		return responseHead{}, false
	}
	raw, _ := in.Peek(in.Buffered())
	end := bytes.Index(raw, []byte(headEnd))
	if end < 0 {
		return responseHead{}, false
	}
	line, rest, _ := bytes.Cut(raw[:end+len(lineEnd)], []byte(lineEnd))
	status, ok := parseSimpleStatusLine(line)
	if !ok {
		return responseHead{}, false
	}
	parsed := simpleHead{responseHead: responseHead{status: status, length: -1}}
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

// parseSimpleStatusLine parses line, the status line of a simple head. ok is false unless the status is final and
// allows a body.
func parseSimpleStatusLine(line []byte) (status int, ok bool) {
	if len(line) <= statusEnd || string(line[:len(protocolPrefix)]) != protocolPrefix {
		return 0, false
	}
	if line[statusEnd] != ' ' || !isPrintableText(line) {
		return 0, false
	}
	number, ok := ascii.ParseDecimal(line[len(protocolPrefix):statusEnd], 3)
	status = int(number)
	if !ok || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, false
	}
	return status, true
}

// simpleHead collects the headers of a simple head during parsing.
type simpleHead struct {
	responseHead
	seen headerSet
}

// headerSet is a bit set of the headers that may occur at most once in a simple head.
type headerSet uint8

const (
	headerLoad headerSet = 1 << iota
	headerNotRun
	headerConnection
	headerContentType
	headerContentLength
)

// addLine parses line, a header line. It returns false if a simple head cannot contain line.
func (h *simpleHead) addLine(line []byte) bool {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isPrintableText(line) || !isSimpleHeaderName(line[:colon]) {
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

// isFirst reports whether header occurs for the first time, and records the occurrence.
func (h *simpleHead) isFirst(header headerSet) bool {
	if h.seen&header != 0 {
		return false
	}
	h.seen |= header
	return true
}

// isPrintableText reports whether line contains only printable ASCII characters and tabs.
func isPrintableText(line []byte) bool {
	for _, char := range line {
		if char < ' ' && char != '\t' || char > '~' {
			return false
		}
	}
	return true
}

// isSimpleHeaderName reports whether name contains only letters, digits and dashes.
func isSimpleHeaderName(name []byte) bool {
	for _, char := range name {
		if (char|0x20 < 'a' || char|0x20 > 'z') && (char < '0' || char > '9') && char != '-' {
			return false
		}
	}
	return true
}

// readHead reads a response head with net/http. It skips 1xx responses before the head.
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

// finalChunk is the end of a chunked body without trailers.
var finalChunk = []byte("\r\n0\r\n\r\n")

// hasFinalChunk reports whether the buffered bytes end like a chunked body. Data within a chunk can end the same way.
func hasFinalChunk(in *bufio.Reader) bool {
	buffered, _ := in.Peek(in.Buffered())
	return bytes.HasSuffix(buffered, finalChunk)
}

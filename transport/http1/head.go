package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

// head is what counts of an answer's head.
type head struct {
	status      int
	length      int // of the body
	closes      bool
	contentType string
	load        string // X-Load
	notRun      bool   // X-Not-Run: 1
}

// simple reads an answer's head if it is of the plainest form: all of it in what the first read brought,
// HTTP/1.1, a final status that has a body, one Content-Length of digits, and no header that could
// change where the body ends. It reports false, and has consumed nothing, wherever net/http's own
// reader must judge: the two agree on what they both read (FuzzHead).
func simple(in *bufio.Reader) (h head, ok bool) {
	if _, err := in.Peek(1); err != nil {
		return h, false
	}
	raw, _ := in.Peek(in.Buffered())
	end := bytes.Index(raw, []byte("\r\n\r\n"))
	if end < 0 {
		return h, false
	}
	text := raw[:end+2]
	line, text, _ := bytes.Cut(text, []byte("\r\n"))
	if len(line) < len("HTTP/1.1 200 ") || string(line[:9]) != "HTTP/1.1 " || line[12] != ' ' || !plainText(line) {
		return h, false
	}
	for _, d := range line[9:12] {
		if d < '0' || d > '9' {
			return h, false
		}
		h.status = 10*h.status + int(d-'0')
	}
	if h.status < 200 || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		return h, false
	}
	h.length = -1
	var seen [5]bool
	for len(text) > 0 {
		line, text, _ = bytes.Cut(text, []byte("\r\n"))
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !plainText(line) {
			return h, false
		}
		name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
		if !plainName(name) {
			return h, false
		}
		which := -1
		switch len(name) {
		case 4:
			if equalFold(name, "date") {
				continue
			}
		case 6:
			if equalFold(name, "x-load") {
				which, h.load = 0, string(value)
			}
		case 7:
			if equalFold(name, "trailer") || equalFold(name, "upgrade") {
				return h, false
			}
		case 9:
			if equalFold(name, "x-not-run") {
				which, h.notRun = 1, string(value) == "1"
			}
		case 10:
			if equalFold(name, "connection") {
				which = 2
				if h.closes = equalFold(value, "close"); !h.closes && !equalFold(value, "keep-alive") {
					return h, false
				}
			}
		case 12:
			if equalFold(name, "content-type") {
				which, h.contentType = 3, string(value)
			}
		case 14:
			if equalFold(name, "content-length") {
				if which, h.length, ok = 4, 0, len(value) > 0 && len(value) <= 7; !ok {
					return h, false
				}
				for _, d := range value {
					if d < '0' || d > '9' {
						return h, false
					}
					h.length = 10*h.length + int(d-'0')
				}
			}
		case 17:
			if equalFold(name, "transfer-encoding") {
				return h, false
			}
		}
		if which >= 0 {
			if seen[which] {
				return h, false
			}
			seen[which] = true
		}
	}
	if h.length < 0 {
		return h, false
	}
	_, err := in.Discard(end + len("\r\n\r\n"))
	return h, err == nil
}

// plainText tells whether a line holds printable ASCII and tabs only.
func plainText(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c > '~' {
			return false
		}
	}
	return true
}

// plainName tells whether a header's name holds letters, digits and dashes only.
func plainName(name []byte) bool {
	for _, c := range name {
		if (c|0x20 < 'a' || c|0x20 > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// equalFold compares with a word in lower case.
func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// slow reads a head by net/http, with the 1xx answers ahead of it.
func slow(in *bufio.Reader, limit *io.LimitedReader, method string) (h head, resp *http.Response, err error) {
	for i := 0; ; i++ {
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return h, nil, spoilt(err, limit.N == 0)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInterim || resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
			return h, nil, errSpoilt
		}
		limit.N = maxHeader
	}
	return head{
		status: resp.StatusCode, length: int(resp.ContentLength), closes: resp.Close, contentType: resp.Header.Get("Content-Type"),
		load: resp.Header.Get("X-Load"), notRun: resp.Header.Get("X-Not-Run") == "1",
	}, resp, nil
}

// rest reads a short body by net/http.
func rest(limit *io.LimitedReader, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, errSpoilt
	}
	limit.N = 2 * maxBody // a chunked body brings the lengths of its parts
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, spoilt(err, limit.N == 0)
	}
	if len(body) > maxBody {
		return nil, errSpoilt
	}
	return body, nil
}

// lastChunk is how a chunked body without trailers ends.
var lastChunk = []byte("\r\n0\r\n\r\n")

// there tells whether a chunked body seems to be all in what was read already.
func there(in *bufio.Reader) bool {
	held, _ := in.Peek(in.Buffered())
	return bytes.HasSuffix(held, lastChunk)
}

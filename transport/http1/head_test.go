package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// headSeeds are responses. The first five have a simple head. readSimpleHead must reject the heads of the rest.
var headSeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\ncontent-length:2\r\nConnection: close\r\n\r\nok",
	"HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 F\r\nX-Not-Run: 11\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nDate: x\r\nDate: y\r\nX-Load: a=1\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2,2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive, close\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\nConnection: close\r\n\r\nok",
	"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 204 N\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 304 N\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX\x00: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTrailer: X\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nok",
	"",
}

// compareWithNetHTTP checks that readSimpleHead either consumes nothing of raw, or parses raw as net/http does.
func compareWithNetHTTP(t *testing.T, raw []byte) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(raw))
	head, ok := readSimpleHead(in)
	if !ok {
		if rest, _ := in.Peek(len(raw)); len(raw) <= 4096 && !bytes.Equal(rest, raw) {
			t.Errorf("%q: head rejected, but some bytes were consumed", raw)
		}
		return
	}
	other := bufio.NewReader(bytes.NewReader(raw))
	resp, err := http.ReadResponse(other, &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatalf("%q: parsed as %+v, but net/http fails: %v", raw, head, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != head.status || resp.ContentLength != int64(head.length) || resp.Close != head.closeAfter ||
		len(resp.TransferEncoding) != 0 || resp.Header.Get("Content-Type") != head.contentType ||
		resp.Header.Get("X-Load") != head.loadReport || (resp.Header.Get("X-Not-Run") == "1") != head.notRun {
		t.Errorf("%q: parsed as %+v, net/http has status %d, length %d, close %v, header %v", raw, head, resp.StatusCode,
			resp.ContentLength, resp.Close, resp.Header)
	}
	gotBody, _ := in.Peek(in.Buffered())
	wantBody, _ := other.Peek(other.Buffered())
	if !bytes.Equal(gotBody, wantBody) {
		t.Errorf("%q: bytes after the head are %q, with net/http %q", raw, gotBody, wantBody)
	}
}

func FuzzHead(f *testing.F) {
	for _, h := range headSeeds {
		f.Add([]byte(h))
	}
	f.Fuzz(func(t *testing.T, raw []byte) { compareWithNetHTTP(t, raw) })
}

// TestReadSimpleHead_AcceptsOnlySimpleHeads checks that readSimpleHead accepts only the first five seeds.
func TestReadSimpleHead_AcceptsOnlySimpleHeads(t *testing.T) {
	for i, raw := range headSeeds {
		_, ok := readSimpleHead(bufio.NewReader(strings.NewReader(raw)))
		if want := i < 5; ok != want {
			t.Errorf("%q: accepted %v, want %v", raw, ok, want)
		}
	}
}

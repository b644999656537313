package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// follow hands the guard all of it in steps of n bytes, and returns how much is in order.
func follow(g *Guard, all string, n int) int {
	done := 0
	for done < len(all) {
		part := all[done:min(len(all), done+n)]
		k := g.Pass([]byte(part))
		if done += k; k < len(part) {
			return done
		}
	}
	return done
}

const begin = "POST /api HTTP/1.1\r\nHost: x\r\n"

func TestForms(t *testing.T) {
	for name, x := range map[string]struct {
		all string
		bad string // part of the problem; empty: in order, and at the start of the next request
	}{
		"no body":              {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
		"length":               {begin + "Content-Length: 3\r\n\r\nabc", ""},
		"length 0":             {begin + "content-length:0\r\n\r\n", ""},
		"two requests":         {begin + "Content-Length: 1\r\n\r\naGET / HTTP/1.1\r\nHost: x\r\n\r\n", ""},
		"chunked":              {begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ""},
		"extension, trailer":   {begin + "Transfer-Encoding: Chunked \r\n\r\na;x=\"y\"\r\n0123456789\r\n00 ;z\r\nX: y\r\n\r\n", ""},
		"absolute form":        {"GET http://h/api?x HTTP/1.1\r\nHost: h\r\n\r\n", ""},
		"two lengths":          {begin + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "twice"},
		"list of lengths":      {begin + "Content-Length: 3, 3\r\n\r\nabc", "no number"},
		"signed length":        {begin + "Content-Length: +3\r\n\r\nabc", "no number"},
		"length and chunked":   {begin + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "both"},
		"chunked and length":   {begin + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "both"},
		"two codings":          {begin + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "twice"},
		"another coding":       {begin + "Transfer-Encoding: gzip, chunked\r\n\r\n", "not chunked"},
		"coding with a tail":   {begin + "Transfer-Encoding: chunked" + strings.Repeat(" ", 200) + "x\r\n\r\n", "too long"},
		"blank ahead of colon": {begin + "Content-Length : 3\r\n\r\nabc", "colon"},
		"second line":          {begin + "X: y\r\n Content-Length: 3\r\n\r\nabc", "second line"},
		"no colon":             {begin + "Content-Length\r\n\r\n", "no colon"},
		"bare LF":              {"POST /api HTTP/1.1\nHost: x\r\n\r\n", "line feed"},
		"bare LF in a head":    {begin + "X: y\nContent-Length: 3\r\n\r\n", "line feed"},
		"bare CR":              {begin + "X: y\rz\r\n\r\n", "carriage return"},
		"zero byte":            {begin + "X: \x00\r\n\r\n", "zero"},
		"no chunk size":        {begin + "Transfer-Encoding: chunked\r\n\r\n\r\n", "no size"},
		"bad chunk size":       {begin + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n", "no number"},
		"negative chunk size":  {begin + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "no number"},
		"huge chunk size":      {begin + "Transfer-Encoding: chunked\r\n\r\n10000000000000003\r\n", "no number"},
		"size behind a blank":  {begin + "Transfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n", "no number"},
		"LF behind a size":     {begin + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n", "line feed"},
		"chunk too long":       {begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", "chunk"},
		"bare LF in trailers":  {begin + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\r\n", "line feed"},
		"endless trailers":     {begin + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", 4<<10), "too long"},
	} {
		for _, n := range []int{1, 2, 7, 1 << 20} {
			var g Guard
			done := follow(&g, x.all, n)
			switch {
			case x.bad == "" && (done != len(x.all) || g.Problem() != "" || g.state != head || g.first):
				t.Errorf("%s, in steps of %d: stopped after %d of %d: %q, %+v", name, n, done, len(x.all), g.Problem(), g)
			case x.bad != "" && (done == len(x.all) || !strings.Contains(g.Problem(), x.bad)):
				t.Errorf("%s, in steps of %d: passed %d of %d: %q", name, n, done, len(x.all), g.Problem())
			}
		}
	}
}

// Whatever bytes come: where the guard finds requests in order, net/http reads as many, with bodies that end where the
// guard says.
func FuzzFraming(f *testing.F) {
	f.Add([]byte(begin + "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte(begin + "Transfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nX: y\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte(begin + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, all []byte) {
		var ends []int // of the requests, as the guard sees them
		var g, whole Guard
		passed := 0
		for i := range all {
			if g.Pass(all[i:i+1]) == 0 {
				break
			}
			passed++
			if g.InHead() && !g.first && len(g.line) == 0 && g.state == head {
				ends = append(ends, i+1)
			}
		}
		if n := whole.Pass(all); n != passed || whole.Problem() != g.Problem() {
			t.Fatalf("%q: %d and %q at once, %d and %q byte by byte", all, n, whole.Problem(), passed, g.Problem())
		}
		src := bytes.NewReader(all)
		in := bufio.NewReader(src)
		for i, end := range ends {
			r, err := http.ReadRequest(in)
			if err != nil {
				return // net/http is the stricter of the two, and its word ends the connection
			}
			if !r.ProtoAtLeast(1, 1) {
				return // the front refuses it, and ends the connection
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if at := len(all) - src.Len() - in.Buffered(); at != end {
				t.Fatalf("request %d of %q ends at %d for net/http, and at %d for the guard", i, all, at, end)
			}
		}
	})
}

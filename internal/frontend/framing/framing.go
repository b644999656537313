// Package framing follows the bytes of one client's HTTP/1.1 requests and finds those whose end two readers could see
// in different places: what one takes for a body, the other may take for a request. It does no I/O and holds no more
// of a head than a line.
package framing

// Guard follows one connection, from its first byte on. The zero value is at the start of a request.
type Guard struct {
	state state
	left  uint64 // bytes of a body, or of a chunk, that are still to come
	heads uint64 // that were whole
	line  []byte // of the head: the name of a header, and of those that count the value
	bad   string

	first    bool // the request line has come
	value    bool // line goes on behind the colon
	counts   kind // what this header's value is
	length   bool // Content-Length was given
	chunked  bool // Transfer-Encoding was given
	n        uint64
	digits   int  // of a chunk's size
	sized    bool // nothing more of the size can come: an extension or the end of the line
	trailing int  // bytes of the trailers
}

// kind is what of a header's value counts.
type kind uint8

const (
	nothing kind = iota
	lengthOf
	coding
)

type state uint8

const (
	head state = iota
	headCR
	counting // a body of a told length
	size     // of a chunk
	sizeCR
	chunk
	chunkCR
	chunkLF
	trailer
	trailerCR
)

const (
	maxLine    = 128     // of what is kept of a line: no header that counts is longer
	maxTrailer = 8 << 10 // bytes of trailers
	maxDigits  = 15      // of a chunk's size
)

// Pass follows the next bytes. It returns how many of them are in order; fewer than len(p) where the connection is
// not to be read any further, and Problem says why.
func (g *Guard) Pass(p []byte) int {
	for i := 0; i < len(p); i++ {
		if g.bad != "" {
			return i
		}
		switch g.state {
		case counting, chunk: // in one step
			n := min(g.left, uint64(len(p)-i))
			g.left -= n
			i += int(n) - 1
			if g.left == 0 && g.state == counting {
				g.begin()
			} else if g.left == 0 {
				g.state = chunkCR
			}
		default:
			if g.state == head {
				if i += g.skip(p[i:]); i == len(p) {
					return len(p)
				}
			}
			if g.step(p[i]); g.bad != "" {
				return i
			}
		}
	}
	return len(p)
}

// skip follows what of a line needs no look at each byte, and returns how much that is.
func (g *Guard) skip(p []byte) (n int) {
	switch {
	case g.value && g.counts == nothing, !g.first && len(g.line) > 0: // a value, or the rest of the request line
		for n < len(p) && p[n] > '\r' {
			n++
		}
	case g.first && !g.value: // a name
		for n < len(p) && p[n] > ' ' && p[n] != ':' {
			n++
		}
		g.line = append(g.line, p[:min(n, maxLine-len(g.line))]...)
	}
	return n
}

// Problem says what is wrong with the framing; empty while nothing is.
func (g *Guard) Problem() string { return g.bad }

// InHead tells whether the next byte belongs to a head, or begins one.
func (g *Guard) InHead() bool { return g.state == head || g.state == headCR }

// Heads is how many whole heads have passed.
func (g *Guard) Heads() uint64 { return g.heads }

// begin waits for the next request.
func (g *Guard) begin() { *g = Guard{line: g.line[:0], heads: g.heads} }

func (g *Guard) step(c byte) {
	switch g.state {
	case head:
		g.inHead(c)
	case headCR:
		if c != '\n' {
			g.bad = "a carriage return stands alone in the head"
			return
		}
		g.state = head
		g.endLine()
	case size:
		g.inSize(c)
	case sizeCR:
		g.endSize(c)
	case chunkCR:
		g.want(c, '\r', chunkLF)
	case chunkLF:
		g.want(c, '\n', size)
		g.n, g.digits, g.sized = 0, 0, false
	case trailer:
		g.inTrailer(c)
	case trailerCR:
		if c != '\n' {
			g.bad = "a carriage return stands alone in a trailer"
		} else if g.state = trailer; len(g.line) == 0 {
			g.begin()
		} else {
			g.line = g.line[:0]
		}
	}
}

func (g *Guard) want(c, wanted byte, next state) {
	if c != wanted {
		g.bad = "a chunk doesn't end where its size says"
		return
	}
	g.state = next
}

func (g *Guard) inHead(c byte) {
	switch {
	case c == '\r':
		g.state = headCR
	case c == '\n':
		g.bad = "a line feed stands alone in the head"
	case c == 0:
		g.bad = "a zero byte stands in the head"
	case !g.first: // the request line counts for nothing here, but for being there
		if len(g.line) < maxLine {
			g.line = append(g.line, c)
		}
	case !g.value && c == ':':
		g.named()
	case !g.value && len(g.line) == 0 && (c == ' ' || c == '\t'):
		g.bad = "a header goes on in a second line"
	case !g.value && (c == ' ' || c == '\t'):
		g.bad = "blanks stand ahead of a header's colon"
	case g.value && g.counts == nothing:
	case len(g.line) < maxLine:
		g.line = append(g.line, c)
	case g.value:
		g.bad = "a length or a coding is too long"
	}
}

// named is the end of a header's name.
func (g *Guard) named() {
	switch {
	case is(g.line, "content-length"):
		if g.counts = lengthOf; g.length {
			g.bad = "Content-Length is given twice"
		}
		g.length = true
	case is(g.line, "transfer-encoding"):
		if g.counts = coding; g.chunked {
			g.bad = "Transfer-Encoding is given twice"
		}
		g.chunked = true
	}
	g.value, g.line = true, g.line[:0]
}

// endLine is the end of a line of the head.
func (g *Guard) endLine() {
	switch {
	case g.bad != "":
	case !g.first && len(g.line) == 0: // net/http passes over an empty line ahead of a request only at its start
		g.bad = "an empty line stands ahead of the request"
	case !g.first:
		g.first = true
	case !g.value && len(g.line) == 0:
		g.endHead()
		return
	case !g.value:
		g.bad = "a line of the head has no colon"
	case g.counts == coding && !is(trim(g.line), "chunked"):
		g.bad = "the transfer coding is not chunked"
	case g.counts == lengthOf:
		g.number()
	}
	g.line, g.value, g.counts = g.line[:0], false, nothing
}

// number is the value of a Content-Length.
func (g *Guard) number() {
	v := trim(g.line)
	if len(v) == 0 || len(v) > 18 {
		g.bad = "Content-Length is no number"
	}
	for _, d := range v {
		if d < '0' || d > '9' {
			g.bad = "Content-Length is no number"
			return
		}
		g.n = 10*g.n + uint64(d-'0')
	}
}

// endHead is the empty line behind a head.
func (g *Guard) endHead() {
	g.heads++
	switch {
	case g.length && g.chunked:
		g.bad = "a body has both a length and a transfer coding"
	case g.chunked:
		g.state, g.n, g.digits, g.sized = size, 0, 0, false
	case g.n > 0:
		g.state, g.left = counting, g.n
	default:
		g.begin()
	}
}

func (g *Guard) inSize(c byte) {
	d, hex := digit(c)
	switch {
	case c == '\r':
		g.state = sizeCR
	case c == '\n':
		g.bad = "a line feed stands alone behind a chunk's size"
	case !g.sized && hex && g.digits < maxDigits:
		g.n, g.digits = g.n<<4|uint64(d), g.digits+1
	case !g.sized && g.digits > 0 && (c == ';' || c == ' ' || c == '\t'):
		g.sized = true
	case !g.sized:
		g.bad = "a chunk's size is no number"
	}
}

func (g *Guard) endSize(c byte) {
	switch {
	case c != '\n':
		g.bad = "a carriage return stands alone behind a chunk's size"
	case g.digits == 0:
		g.bad = "a chunk has no size"
	case g.n == 0:
		g.state, g.line, g.trailing = trailer, g.line[:0], 0
	default:
		g.state, g.left = chunk, g.n
	}
}

func (g *Guard) inTrailer(c byte) {
	switch g.trailing++; {
	case g.trailing > maxTrailer:
		g.bad = "the trailers are too long"
	case c == '\r':
		g.state = trailerCR
	case c == '\n':
		g.bad = "a line feed stands alone in a trailer"
	case len(g.line) < maxLine:
		g.line = append(g.line, c)
	}
}

func digit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10, true
	}
	return 0, false
}

// is compares with a word in lower case.
func is(b []byte, lower string) bool {
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

func trim(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

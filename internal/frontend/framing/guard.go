// Package framing checks the framing of a client's HTTP/1.1 requests. It finds those whose end two parsers could see in
// different places, by which requests are smuggled: what one parser takes for a body, the other takes for a request. It
// does no I/O, and holds no more of a head than a line.
package framing

const (
	maxLineBytes    = 128     // that are kept of a line; no header that matters is longer
	maxTrailerBytes = 8 << 10 // of all trailers of a request
	maxSizeDigits   = 15      // hexadecimal digits of a chunk size
	maxLengthDigits = 18      // of a Content-Length
)

// Guard checks the bytes of one connection, from its first byte on. The zero value is at the start of a request. It is
// not safe for concurrent use.
type Guard struct {
	state     state
	remaining uint64 // bytes of a body or chunk
	heads     uint64 // complete heads
	line      []byte // of the head: the name of a header, and the value of one that matters
	problem   string

	hasRequestLine bool
	inValue        bool       // line is behind the colon
	header         headerKind // of the current line
	hasLength      bool       // there is a Content-Length
	hasCoding      bool       // there is a Transfer-Encoding
	number         uint64     // Content-Length or chunk size
	digits         int        // of a chunk size
	sizeEnded      bool       // no further digit may follow: an extension or the end of the line
	trailerBytes   int
}

// headerKind tells the headers that matter to the framing from others.
type headerKind uint8

const (
	headerOther headerKind = iota
	headerContentLength
	headerTransferEncoding
)

type state uint8

const (
	stateHead state = iota
	stateHeadCR
	stateBody // of a given length
	stateChunkSize
	stateChunkSizeCR
	stateChunk
	stateChunkCR
	stateChunkLF
	stateTrailer
	stateTrailerCR
)

// Check checks the next bytes, and returns how many of them are well-formed. It returns fewer than len(data) if nothing
// further may be read from the connection; Problem says why.
func (g *Guard) Check(data []byte) int {
	for i := 0; i < len(data); {
		if g.problem != "" {
			return i
		}
		switch g.state {
		case stateBody, stateChunk:
			i += g.skipBody(len(data) - i)
			continue
		case stateHead:
			i += g.skipLine(data[i:])
			if i == len(data) {
				return len(data)
			}
		}
		g.step(data[i])
		if g.problem != "" {
			return i
		}
		i++
	}
	return len(data)
}

// skipBody passes over the available bytes of a body or chunk, and returns their number.
func (g *Guard) skipBody(available int) int {
	n := min(g.remaining, uint64(available))
	g.remaining -= n
	if g.remaining > 0 {
		return int(n)
	}
	if g.state == stateBody {
		g.reset()
	} else {
		g.state = stateChunkCR
	}
	return int(n)
}

// skipLine passes over the part of a line that need not be checked byte by byte, and returns its length. It is small
// enough to be inlined.
func (g *Guard) skipLine(p []byte) (n int) {
	switch {
	case g.inValue && g.header == headerOther, !g.hasRequestLine && len(g.line) > 0: // a value, or the request line
		for n < len(p) && p[n] > '\r' {
			n++
		}
	case g.hasRequestLine && !g.inValue:
		for n < len(p) && p[n] > ' ' && p[n] != ':' {
			n++
		}
		g.line = append(g.line, p[:min(n, maxLineBytes-len(g.line))]...)
	}
	return n
}

// Problem describes the error of the framing; empty if there is none.
func (g *Guard) Problem() string { return g.problem }

// InHead reports whether the next byte belongs to a head, or begins one.
func (g *Guard) InHead() bool { return g.state == stateHead || g.state == stateHeadCR }

// WithinHead reports whether a part of a head has come, but not the rest.
func (g *Guard) WithinHead() bool {
	return g.state == stateHeadCR || g.state == stateHead && (g.hasRequestLine || len(g.line) > 0)
}

// IsCompleteRequest reports whether the bytes are exactly one well-formed request with its body.
func IsCompleteRequest(data []byte) bool {
	var guard Guard
	return guard.Check(data) == len(data) && guard.heads == 1 && guard.InHead() && !guard.WithinHead()
}

// Heads returns the number of complete heads.
func (g *Guard) Heads() uint64 { return g.heads }

// reset expects the next request.
func (g *Guard) reset() { *g = Guard{line: g.line[:0], heads: g.heads} }

func (g *Guard) step(char byte) {
	switch g.state {
	case stateHead:
		g.stepHead(char)
	case stateHeadCR:
		g.stepHeadCR(char)
	case stateChunkSize:
		g.stepChunkSize(char)
	case stateChunkSizeCR:
		g.endChunkSize(char)
	case stateChunkCR:
		g.expect(char, '\r', stateChunkLF)
	case stateChunkLF:
		g.expect(char, '\n', stateChunkSize)
		g.number, g.digits, g.sizeEnded = 0, 0, false
	case stateTrailer:
		g.stepTrailer(char)
	case stateTrailerCR:
		g.stepTrailerCR(char)
	}
}

// expect checks the end of a chunk.
func (g *Guard) expect(char, want byte, next state) {
	if char != want {
		g.problem = "chunk does not end where its size says"
		return
	}
	g.state = next
}

// Package framing checks the framing of a client's HTTP/1.1 requests. It rejects requests whose end two parsers could
// place differently, because that allows request smuggling: one parser treats bytes as a body that the other treats
// as the next request. It does no I/O, and buffers at most one line of a head.
package framing

const (
	maxLineBytes    = 128     // bytes buffered of a line; valid headers that affect the framing are shorter
	maxTrailerBytes = 8 << 10 // limit for all trailers of a request together
	maxSizeDigits   = 15      // hexadecimal digits of a chunk size
	maxLengthDigits = 18      // decimal digits of a Content-Length
)

// Guard checks the bytes of one connection, starting with its first byte. The zero value expects the start of a
// request. It is not safe for concurrent use.
type Guard struct {
	state         state
	remaining     uint64 // bytes of the current body or chunk that are still to come
	completeHeads uint64 // number of heads that were complete and well-formed so far
	line          []byte // buffered part of the current line: a header's name, then its value if it affects the framing
	problem       string

	hasRequestLine      bool
	inValue             bool       // the colon of the current header line has been read
	header              headerKind // kind of the header on the current line
	hasContentLength    bool       // the head has a Content-Length header
	hasTransferEncoding bool       // the head has a Transfer-Encoding header
	parsedNumber        uint64     // value of Content-Length, or of the current chunk size
	sizeDigits          int        // digits read of the current chunk size
	sizeEnded           bool       // the chunk size is complete; the rest of its line is an extension
	trailerBytes        int
}

// headerKind distinguishes the headers that affect the framing from all others.
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
	stateBody // body with a Content-Length
	stateChunkSize
	stateChunkSizeCR
	stateChunk
	stateChunkCR
	stateChunkLF
	stateTrailer
	stateTrailerCR
)

// Check checks the next bytes of the connection, and returns how many of them are well-formed. If it returns fewer
// than len(data), nothing more may be read from the connection; Problem says why.
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

// skipBody skips the available bytes of a body or chunk, and returns their number.
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

// skipLine skips the part of a line that need not be checked byte by byte, and returns its length. It is kept small
// enough for the compiler to inline it.
func (g *Guard) skipLine(p []byte) (n int) {
	switch {
	case g.inValue && g.header == headerOther, !g.hasRequestLine && len(g.line) > 0: // header value or request line
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

// Problem describes the framing error that Check found; it is empty if there is none.
func (g *Guard) Problem() string { return g.problem }

// InHead reports whether the next byte belongs to a request's head or starts one.
func (g *Guard) InHead() bool { return g.state == stateHead || g.state == stateHeadCR }

// HasPartialHead reports whether a head has been received in part.
func (g *Guard) HasPartialHead() bool {
	return g.state == stateHeadCR || g.state == stateHead && (g.hasRequestLine || len(g.line) > 0)
}

// IsCompleteRequest reports whether the bytes are exactly one well-formed request with its body.
func IsCompleteRequest(data []byte) bool {
	var guard Guard
	return guard.Check(data) == len(data) && guard.completeHeads == 1 && guard.InHead() && !guard.HasPartialHead()
}

// Heads returns the number of complete heads that were received.
func (g *Guard) Heads() uint64 { return g.completeHeads }

// reset prepares the guard for the next request on the connection.
func (g *Guard) reset() { *g = Guard{line: g.line[:0], completeHeads: g.completeHeads} }

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
		g.expectChunkEnd(char, '\r', stateChunkLF)
	case stateChunkLF:
		g.expectChunkEnd(char, '\n', stateChunkSize)
		g.parsedNumber, g.sizeDigits, g.sizeEnded = 0, 0, false
	case stateTrailer:
		g.stepTrailer(char)
	case stateTrailerCR:
		g.stepTrailerCR(char)
	}
}

// expectChunkEnd checks one byte of the line break that must follow a chunk's data.
func (g *Guard) expectChunkEnd(char, want byte, next state) {
	if char != want {
		g.problem = "chunk does not end where its size says"
		return
	}
	g.state = next
}

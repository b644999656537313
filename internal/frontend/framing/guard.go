// Package framing checks the framing of a client's HTTP/1.1 requests. It rejects requests whose end two parsers could
// place differently. Such a request allows request smuggling: one parser treats bytes as a body that the other treats
// as the next request. The package does no I/O, and buffers only the start of one line.
package framing

const (
	maxLineBytes    = 128     // maximum number of buffered bytes per line; valid framing headers are shorter
	maxTrailerBytes = 8 << 10 // maximum total size of the trailers of a request
	// maxFields is the maximum number of header fields of a request, and of its trailers. A parsed field takes many times
	// the memory of its bytes.
	maxFields       = 128
	maxSizeDigits   = 15 // maximum number of hexadecimal digits of a chunk size
	maxLengthDigits = 18 // maximum number of decimal digits of a Content-Length
)

// Guard checks the bytes of one connection, starting with the first byte. The zero value expects the start of a
// request. A Guard is not safe for concurrent use.
type Guard struct {
	state         state
	remaining     uint64 // bytes of the current body or chunk that have not arrived yet
	completeHeads uint64 // number of complete, well-formed heads so far
	line          []byte // start of the current line: a header's name, or the value of a header that affects the framing
	problem       string

	hasRequestLine      bool
	fields              int        // header fields of the head, or trailers
	inValue             bool       // whether the colon of the current header line has been read
	header              headerKind // kind of the header on the current line
	hasContentLength    bool       // whether the head has a Content-Length header
	hasTransferEncoding bool       // whether the head has a Transfer-Encoding header
	parsedNumber        uint64     // value of Content-Length or of the current chunk size
	sizeDigits          int        // digits read of the current chunk size
	sizeEnded           bool       // whether the chunk size is complete; the rest of its line is an extension
	trailerBytes        int
}

// headerKind distinguishes the two headers that affect the framing from all other headers.
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

// Check checks the next bytes of the connection, and returns how many of them are well-formed. If Check returns fewer
// than len(data), Problem returns the reason, and the caller must not read from the connection again.
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

// skipBody skips at most available bytes of a body or chunk, and returns the number of bytes skipped.
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

// skipLine skips the start of p that need not be checked byte by byte, and returns its length. The function is small
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

// Problem returns a description of the framing error that Check found, or an empty string.
func (g *Guard) Problem() string { return g.problem }

// InHead reports whether the next byte continues or starts a request's head.
func (g *Guard) InHead() bool { return g.state == stateHead || g.state == stateHeadCR }

// HasPartialHead reports whether a head has begun but is not complete.
func (g *Guard) HasPartialHead() bool {
	return g.state == stateHeadCR || g.state == stateHead && (g.hasRequestLine || len(g.line) > 0)
}

// IsCompleteRequest reports whether data is exactly one well-formed request with its body.
func IsCompleteRequest(data []byte) bool {
	var guard Guard
	return guard.Check(data) == len(data) && guard.completeHeads == 1 && guard.InHead() && !guard.HasPartialHead()
}

// Heads returns the number of complete heads received on the connection.
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

// expectChunkEnd checks that char, a byte of the line break after a chunk's data, equals want. If it does, next
// becomes the state.
func (g *Guard) expectChunkEnd(char, want byte, next state) {
	if char != want {
		g.problem = "chunk does not end where its size says"
		return
	}
	g.state = next
}

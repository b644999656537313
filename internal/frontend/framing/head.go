package framing

import (
	"bytes"

	"cobaltward/internal/ascii"
)

// stepHead processes one byte of a line of the head.
func (g *Guard) stepHead(char byte) {
	isBlank := char == ' ' || char == '\t'
	switch {
	case char == '\r':
		g.state = stateHeadCR
	case char == '\n':
		g.problem = "bare line feed in the head"
	case char == 0:
		g.problem = "zero byte in the head"
	case !g.hasRequestLine: // the request line does not affect the framing
		if len(g.line) < maxLineBytes {
			g.line = append(g.line, char)
		}
	case !g.inValue && char == ':':
		g.endHeaderName()
	case !g.inValue && len(g.line) == 0 && isBlank:
		g.problem = "header continued on a second line"
	case !g.inValue && isBlank:
		g.problem = "space or tab before the colon of a header"
	case g.inValue && g.header == headerOther:
	case len(g.line) < maxLineBytes:
		g.line = append(g.line, char)
	case g.inValue:
		g.problem = "Content-Length or Transfer-Encoding is too long"
	}
}

func (g *Guard) stepHeadCR(char byte) {
	if char != '\n' {
		g.problem = "bare carriage return in the head"
		return
	}
	g.state = stateHead
	g.endHeadLine()
}

// endHeaderName processes the colon after a header's name.
func (g *Guard) endHeaderName() {
	g.countField()
	switch {
	case ascii.EqualFold(g.line, "content-length"):
		g.header = headerContentLength
		if g.hasContentLength {
			g.problem = "Content-Length is given twice"
		}
		g.hasContentLength = true
	case ascii.EqualFold(g.line, "transfer-encoding"):
		g.header = headerTransferEncoding
		if g.hasTransferEncoding {
			g.problem = "Transfer-Encoding is given twice"
		}
		g.hasTransferEncoding = true
	}
	g.inValue, g.line = true, g.line[:0]
}

// countField counts a header field or a trailer.
func (g *Guard) countField() {
	g.fields++
	if g.fields > maxFields {
		g.problem = "more header fields than the limit"
	}
}

// endHeadLine processes the line break at the end of a line of the head.
func (g *Guard) endHeadLine() {
	switch {
	case !g.hasRequestLine && len(g.line) == 0: // net/http skips empty lines only after a POST
		g.problem = "empty line before the request"
	case !g.hasRequestLine:
		g.hasRequestLine = true
	case !g.inValue && len(g.line) == 0:
		g.endHead()
		return
	case !g.inValue:
		g.problem = "header line has no colon"
	case g.header == headerTransferEncoding && !ascii.EqualFold(g.trimmedValue(), "chunked"):
		g.problem = "transfer coding is not chunked"
	case g.header == headerContentLength:
		g.parseContentLength()
	}
	g.line, g.inValue, g.header = g.line[:0], false, headerOther
}

func (g *Guard) trimmedValue() []byte { return bytes.Trim(g.line, " \t") }

func (g *Guard) parseContentLength() {
	length, ok := ascii.ParseDecimal(g.trimmedValue(), maxLengthDigits)
	if !ok {
		g.problem = "Content-Length is not a number"
		return
	}
	g.parsedNumber = length
}

// endHead processes the empty line at the end of a head.
func (g *Guard) endHead() {
	g.completeHeads++
	switch {
	case g.hasContentLength && g.hasTransferEncoding:
		g.problem = "body has both a length and a transfer coding"
	case g.hasTransferEncoding:
		g.state, g.parsedNumber, g.sizeDigits, g.sizeEnded = stateChunkSize, 0, 0, false
	case g.parsedNumber > 0:
		g.state, g.remaining = stateBody, g.parsedNumber
	default:
		g.reset()
	}
}

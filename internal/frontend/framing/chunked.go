package framing

// stepChunkSize processes one byte of a chunk-size line: the hexadecimal size or an extension after the size.
func (g *Guard) stepChunkSize(char byte) {
	value, isDigit := hexDigit(char)
	switch {
	case char == '\r':
		g.state = stateChunkSizeCR
	case char == '\n':
		g.problem = "bare line feed after a chunk size"
	case g.sizeEnded:
	case isDigit && g.sizeDigits < maxSizeDigits:
		g.parsedNumber, g.sizeDigits = g.parsedNumber<<4|uint64(value), g.sizeDigits+1
	case g.sizeDigits > 0 && (char == ';' || char == ' ' || char == '\t'):
		g.sizeEnded = true
	default:
		g.problem = "chunk size is not a number"
	}
}

func (g *Guard) endChunkSize(char byte) {
	switch {
	case char != '\n':
		g.problem = "bare carriage return after a chunk size"
	case g.sizeDigits == 0:
		g.problem = "chunk has no size"
	case g.parsedNumber == 0:
		g.state, g.line, g.trailerBytes, g.fields = stateTrailer, g.line[:0], 0, 0
	default:
		g.state, g.remaining = stateChunk, g.parsedNumber
	}
}

// stepTrailer processes one byte of a trailer line.
func (g *Guard) stepTrailer(char byte) {
	g.trailerBytes++
	switch {
	case g.trailerBytes > maxTrailerBytes:
		g.problem = "trailers are too long"
	case char == '\r':
		g.state = stateTrailerCR
	case char == '\n':
		g.problem = "bare line feed in a trailer"
	case len(g.line) < maxLineBytes:
		g.line = append(g.line, char)
	}
}

func (g *Guard) stepTrailerCR(char byte) {
	switch {
	case char != '\n':
		g.problem = "bare carriage return in a trailer"
	case len(g.line) == 0:
		g.reset()
	default:
		g.countField()
		g.state, g.line = stateTrailer, g.line[:0]
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(char byte) (value byte, ok bool) {
	switch {
	case char >= '0' && char <= '9':
		return char - '0', true
	case char|0x20 >= 'a' && char|0x20 <= 'f':
		return char | 0x20 - 'a' + 10, true
	}
	return 0, false
}

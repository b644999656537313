// Package ascii has what readers of HTTP/1.1 heads share: comparisons and numbers over bytes, without allocations.
package ascii

// EqualFold reports whether b equals a word in lower case, where letters of b may be in either case. Only ASCII letters
// are folded.
func EqualFold(b []byte, lower string) bool {
	return len(b) == len(lower) && equalFoldSameLength(b, lower)
}

func equalFoldSameLength(b []byte, lower string) bool {
	for i, char := range b {
		if char >= 'A' && char <= 'Z' {
			char |= 0x20
		}
		if char != lower[i] {
			return false
		}
	}
	return true
}

// ParseDecimal parses a number that consists of digits alone, at least one and at most maxDigits. With up to 18 digits
// it cannot overflow.
func ParseDecimal(digits []byte, maxDigits int) (number uint64, ok bool) {
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = 10*number + uint64(digit-'0')
	}
	return number, true
}

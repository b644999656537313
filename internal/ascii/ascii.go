// Package ascii compares and parses bytes without allocations, for the parsers of HTTP/1.1 heads.
package ascii

// EqualFold reports whether b equals lower, ignoring the case of ASCII letters in b. lower must be in lower case.
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

// ParseDecimal parses a number of 1 to maxDigits digits, without a sign. The number cannot overflow if maxDigits is
// at most 18.
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

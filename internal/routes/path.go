package routes

import (
	"errors"
	"fmt"
	"strings"
)

// ErrAmbiguousPath is the error for a path that servers may interpret differently. The interpretation depends on
// whether a server cleans or decodes the path.
var ErrAmbiguousPath = errors.New("the path can be read in two ways")

// CheckPath rejects paths that a server may interpret differently from Table. These are paths with empty segments,
// with plain or encoded dot segments, or with bytes that are not allowed in a path. Encoded slashes, backslashes,
// NULs and percent signs are rejected as well. An accepted path is matched and forwarded unchanged. Errors wrap
// ErrAmbiguousPath, unless the path does not begin with a slash.
func CheckPath(path string) error {
	if path == "" || path[0] != '/' {
		return fmt.Errorf("want a path from /, got %q", path)
	}
	for i := range len(path) {
		switch char := path[i]; {
		case char <= ' ' || char >= 0x7f || char == '\\' || char == '?' || char == '#':
			return fmt.Errorf("%w: byte %q", ErrAmbiguousPath, char)
		case char == '%':
			if err := checkEscape(path[i:]); err != nil {
				return err
			}
		case char == '/' && i+1 < len(path) && path[i+1] == '/':
			return fmt.Errorf("%w: //", ErrAmbiguousPath)
		}
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if isDotSegment(segment) {
			return fmt.Errorf("%w: %q", ErrAmbiguousPath, segment)
		}
	}
	return nil
}

// checkEscape checks the escape sequence at the start of rest.
func checkEscape(rest string) error {
	if len(rest) < 3 || !isHex(rest[1]) || !isHex(rest[2]) {
		return fmt.Errorf("%w: a %% without two digits", ErrAmbiguousPath)
	}
	switch strings.ToLower(rest[1:3]) {
	case "2f", "5c", "00", "25": // slash, backslash, NUL, percent
		return fmt.Errorf("%w: %s", ErrAmbiguousPath, rest[:3])
	}
	return nil
}

// isDotSegment reports whether a segment is "." or "..", with each dot plain or percent-encoded.
func isDotSegment(segment string) bool {
	dots := 0
	for segment != "" {
		switch {
		case segment[0] == '.':
			segment = segment[1:]
		case len(segment) >= 3 && strings.EqualFold(segment[:3], "%2e"):
			segment = segment[3:]
		default:
			return false
		}
		dots++
	}
	return dots == 1 || dots == 2
}

// checkSegments checks the syntax of Route.Segments. Names in braces must be unique and not empty.
func checkSegments(path string) error {
	names := make(map[string]bool)
	for _, segment := range strings.Split(path[1:], "/") {
		name, param := strings.CutPrefix(segment, "{")
		if param {
			name, param = strings.CutSuffix(name, "}")
		}
		switch {
		case !param && strings.ContainsAny(segment, "{}"):
			return fmt.Errorf("segments: want a name in braces, or no braces, got %q", segment)
		case param && (name == "" || strings.ContainsAny(name, "{}") || names[name]):
			return fmt.Errorf("segments: want names that are unique and not empty, got %q", segment)
		}
		names[name] = names[name] || param
	}
	return nil
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

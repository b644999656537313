package nodeconfig

import (
	"errors"
	"fmt"
	"strings"
)

// lineFinder finds the lines of keys in the text of a file.
type lineFinder struct{ text []byte }

// errorf returns an error of one line about a key of a table, which begins with the line number.
func (l lineFinder) errorf(table, key, format string, args ...any) error {
	err := fmt.Errorf("%d: %s.%s: %w", l.of(table, key), table, key, fmt.Errorf(format, args...))
	if message := err.Error(); strings.Contains(message, "\n") {
		return errors.New(firstLine(message))
	}
	return err
}

// of returns the line on which a key of a table is set, or, without a key, the line of the table's header. It returns
// 1 if there is none, as for dotted keys.
func (l lineFinder) of(table, key string) int {
	current := ""
	for i, line := range strings.Split(string(l.text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current, _, _ = strings.Cut(strings.TrimPrefix(line, "["), "]")
			current = strings.TrimSpace(current)
			if current == table && key == "" {
				return i + 1
			}
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && current == table && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 1
}

func firstLine(s string) string {
	s, _, _ = strings.Cut(s, "\n")
	return s
}

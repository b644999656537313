package nodeconfig

import (
	"errors"
	"fmt"
	"strings"
)

// lineFinder finds the line numbers of keys in the text of a file.
type lineFinder struct{ text []byte }

// errorf returns an error about a key of a table. The error begins with the line number and the key. Only the first
// line of the message is kept.
func (l lineFinder) errorf(table, key, format string, args ...any) error {
	err := fmt.Errorf("%d: %s.%s: %w", l.lineOf(table, key), table, key, fmt.Errorf(format, args...))
	if message := err.Error(); strings.Contains(message, "\n") {
		return errors.New(firstLine(message))
	}
	return err
}

// lineOf returns the number of the line that sets a key of a table. If key is empty, it returns the line of the
// table's header. If no such line is found, as for dotted keys, it returns 1.
func (l lineFinder) lineOf(table, key string) int {
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

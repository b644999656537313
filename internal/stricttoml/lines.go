package stricttoml

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is an error in a TOML text.
type Error struct {
	Line    int    // starting from 1
	Key     string // dotted key; empty if the error concerns no key
	Message string
}

// Error returns the line, the key and the message. A caller can put the file's name and a colon in front.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("%d: %s: %s", e.Line, e.Key, e.Message)
}

// Lines maps the dotted keys of values and tables, as in "fault[2].at", to line numbers.
type Lines map[string]int

// At returns the line of a key. If the line is unknown, At returns the line of the innermost known table around the
// key, or 1.
func (l Lines) At(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 1
}

// Errorf returns an *Error with the line of key.
func (l Lines) Errorf(key, format string, args ...any) error {
	return &Error{Line: l.At(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// compare orders two keys by line.
func (l Lines) compare(a, b string) int { return l.At(a) - l.At(b) }

// indexLines returns the lines of the keys in text, which must be valid TOML.
func indexLines(text []byte) Lines {
	x := &indexer{text: text, lines: make(Lines), counts: make(map[string]int), current: make(map[string]string)}
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		x.addExpression(parser.Expression())
	}
	return x.lines
}

// indexer collects the lines of the keys in a text.
type indexer struct {
	text    []byte
	lines   Lines
	counts  map[string]int    // number of elements so far, by array of tables
	current map[string]string // key of the last element, by array of tables
	table   string            // key of the table that contains the following keys
}

func (x *indexer) addExpression(expression *unstable.Node) {
	switch expression.Kind {
	case unstable.Table:
		key, node := x.resolve(expression.Key(), "")
		x.table = key
		x.lines[key] = x.lineOf(node)
	case unstable.ArrayTable:
		array, node := x.resolve(expression.Key(), "")
		key := fmt.Sprintf("%s[%d]", array, x.counts[array])
		x.counts[array]++
		x.current[array] = key
		x.table = key
		x.lines[key] = x.lineOf(node)
	case unstable.KeyValue:
		key, node := x.resolve(expression.Key(), x.table)
		x.addValue(key, expression.Value(), x.lineOf(node))
	}
}

// addValue adds a key. If the value is an inline table, it also adds the keys in this table.
func (x *indexer) addValue(key string, value *unstable.Node, line int) {
	x.lines[key] = line
	if value.Kind != unstable.InlineTable {
		return
	}
	for children := value.Children(); children.Next(); {
		child := children.Node()
		childKey, _ := x.resolve(child.Key(), key)
		x.addValue(childKey, child.Value(), line)
	}
}

// resolve joins the parts of a key to a dotted key within a table, and returns the node of the first part in first. A
// part that names an array of tables means the array's last element, unless the part is the last part of the key.
func (x *indexer) resolve(parts unstable.Iterator, table string) (key string, first *unstable.Node) {
	key = table
	for parts.Next() {
		if first == nil {
			first = parts.Node()
		}
		key = join(key, string(parts.Node().Data))
		if element, ok := x.current[key]; ok && !parts.IsLast() {
			key = element
		}
	}
	return key, first
}

func (x *indexer) lineOf(node *unstable.Node) int {
	return 1 + bytes.Count(x.text[:node.Raw.Offset], []byte("\n"))
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

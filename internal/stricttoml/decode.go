// Package stricttoml reads TOML so that what is wrong is told in one line, which names the line, the key and
// what is allowed there.
//
// Fields are bound by the tag toml. Further tags say what is allowed: min and max bound numbers and times,
// one lists words apart by |, and need asks for the key to be there where the field has no value yet.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is what is wrong with a text.
type Error struct {
	Line    int
	Key     string // dotted; empty where no key is to blame
	Message string
}

// Error begins with the line, for the file's name to stand before it.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("%d: %s: %s", e.Line, e.Key, e.Message)
}

// Lines knows the line of each key, as in "fault[2].at", and of each table.
type Lines map[string]int

// At is the line of a key, or of the nearest table round it.
func (l Lines) At(key string) int {
	for key != "" {
		if n, ok := l[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 1
}

// Errorf is an error at a key.
func (l Lines) Errorf(key, format string, args ...any) error {
	return &Error{l.At(key), key, fmt.Sprintf(format, args...)}
}

// Range is a number, or the bounds of a draw: 3 or [2, 4].
type Range struct{ Lo, Hi float64 }

// Interpolate is the value at part u, 0 to 1, of the way from the lower bound to the upper.
func (r Range) Interpolate(u float64) float64 { return r.Lo + (r.Hi-r.Lo)*u }

// Decode reads text into the struct that to points at, whose values are the defaults. It returns the lines
// of the keys, for checks of the caller's own.
func Decode(text []byte, to any) (Lines, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		line, what := 1, strings.TrimPrefix(err.Error(), "toml: ")
		if bad := (*toml.DecodeError)(nil); errors.As(err, &bad) {
			line, _ = bad.Position()
		}
		what, _, _ = strings.Cut(what, "\n")
		return nil, &Error{Line: line, Message: what}
	}
	lines := index(text)
	return lines, decoder{lines}.table("", tree, reflect.ValueOf(to).Elem())
}

// index finds the lines of the keys of a text that is known to be TOML.
func index(text []byte) Lines {
	lines := make(Lines)
	counts := make(map[string]int)
	last := make(map[string]string) // the path of the array table that a name stands for now
	var p unstable.Parser
	p.Reset(text)
	here := ""
	line := func(n *unstable.Node) int { return 1 + bytes.Count(text[:n.Raw.Offset], []byte("\n")) }
	resolve := func(it unstable.Iterator, from string) (string, *unstable.Node) {
		path := from
		var first *unstable.Node
		for it.Next() {
			if first == nil {
				first = it.Node()
			}
			path = join(path, string(it.Node().Data))
			if !it.IsLast() {
				if at, ok := last[path]; ok {
					path = at
				}
			}
		}
		return path, first
	}
	var value func(path string, n *unstable.Node, at int)
	value = func(path string, n *unstable.Node, at int) {
		lines[path] = at
		if n.Kind != unstable.InlineTable {
			return
		}
		for it := n.Children(); it.Next(); {
			key, _ := resolve(it.Node().Key(), path)
			value(key, it.Node().Value(), at)
		}
	}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, key := resolve(e.Key(), "")
			if e.Kind == unstable.ArrayTable {
				at := fmt.Sprintf("%s[%d]", path, counts[path])
				counts[path]++
				last[path], path = at, at
			}
			here = path
			lines[path] = line(key)
		case unstable.KeyValue:
			path, key := resolve(e.Key(), here)
			value(path, e.Value(), line(key))
		}
	}
	return lines
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

type decoder struct{ lines Lines }

var (
	durationType = reflect.TypeFor[time.Duration]()
	rangeType    = reflect.TypeFor[Range]()
)

// table fills a struct.
func (d decoder) table(path string, from map[string]any, to reflect.Value) error {
	fields := make(map[string]int)
	var names []string
	for i := range to.NumField() {
		if name := to.Type().Field(i).Tag.Get("toml"); name != "" {
			fields[name] = i
			names = append(names, name)
		}
	}
	var unknown []string
	for key := range from {
		if _, ok := fields[key]; !ok {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) > 0 { // the first in the text
		key := slices.MinFunc(unknown, func(a, b string) int { return d.lines.At(join(path, a)) - d.lines.At(join(path, b)) })
		return d.lines.Errorf(join(path, key), "unknown key; allowed are %s", strings.Join(names, ", "))
	}
	for _, name := range names {
		field := to.Type().Field(fields[name])
		v, ok := from[name]
		if !ok {
			if field.Tag.Get("need") != "" && to.Field(fields[name]).IsZero() {
				return d.lines.Errorf(path, "%s: missing", name)
			}
			continue
		}
		if err := d.value(join(path, name), v, to.Field(fields[name]), field.Tag); err != nil {
			return err
		}
	}
	return nil
}

// value fills one field.
func (d decoder) value(path string, from any, to reflect.Value, tag reflect.StructTag) error {
	want := func(what string) error { return d.lines.Errorf(path, "want %s, got %s", what, show(from)) }
	switch to.Type() {
	case durationType:
		text, ok := from.(string)
		v, err := time.ParseDuration(text)
		if !ok || err != nil {
			return want(`a time with its unit, as in "1.5s"`)
		}
		to.SetInt(int64(v))
		return d.bounds(path, show(from), v.Seconds(), tag, func(s string) float64 {
			b, _ := time.ParseDuration(s)
			return b.Seconds()
		})
	case rangeType:
		var r Range
		if n, ok := number(from); ok {
			r = Range{n, n}
		} else {
			list, ok := from.([]any)
			if !ok || len(list) != 2 {
				return want("a number, or two as in [1, 2]")
			}
			lo, ok1 := number(list[0])
			hi, ok2 := number(list[1])
			if !ok1 || !ok2 || lo > hi {
				return want("a number, or two as in [1, 2], the lower one first")
			}
			r = Range{lo, hi}
		}
		to.Set(reflect.ValueOf(r))
		if err := d.bounds(path, show(from), r.Lo, tag, figure); err != nil {
			return err
		}
		return d.bounds(path, show(from), r.Hi, tag, figure)
	}
	switch to.Kind() {
	case reflect.Interface: // it is for another to read
		to.Set(reflect.ValueOf(from))
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		return d.value(path, from, to.Elem(), tag)
	case reflect.String:
		text, ok := from.(string)
		if !ok {
			return want("a text in quotes")
		}
		if one := tag.Get("one"); one != "" && !slices.Contains(strings.Split(one, "|"), text) {
			return want("one of " + strings.ReplaceAll(one, "|", ", "))
		}
		to.SetString(text)
	case reflect.Bool:
		b, ok := from.(bool)
		if !ok {
			return want("true or false")
		}
		to.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, ok := from.(int64)
		if !ok {
			return want("a whole number")
		}
		to.SetInt(n)
		return d.bounds(path, show(from), float64(n), tag, figure)
	case reflect.Uint64:
		n, ok := from.(int64)
		if !ok || n < 0 {
			return want("a whole number of 0 or more")
		}
		to.SetUint(uint64(n))
	case reflect.Float64:
		n, ok := number(from)
		if !ok || math.IsNaN(n) || math.IsInf(n, 0) {
			return want("a number")
		}
		to.SetFloat(n)
		return d.bounds(path, show(from), n, tag, figure)
	case reflect.Struct:
		t, ok := from.(map[string]any)
		if !ok {
			return want("a table")
		}
		return d.table(path, t, to)
	case reflect.Map:
		t, ok := from.(map[string]any)
		if !ok {
			return want("a table")
		}
		to.Set(reflect.MakeMap(to.Type()))
		keys := make([]string, 0, len(t))
		for k := range t {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(a, b string) int { return d.lines.At(join(path, a)) - d.lines.At(join(path, b)) })
		for _, k := range keys {
			v := reflect.New(to.Type().Elem()).Elem()
			if err := d.value(join(path, k), t[k], v, tag); err != nil {
				return err
			}
			to.SetMapIndex(reflect.ValueOf(k), v)
		}
	case reflect.Slice:
		list, ok := from.([]any)
		if !ok {
			return want("a list")
		}
		all := reflect.MakeSlice(to.Type(), len(list), len(list))
		for i, v := range list {
			if err := d.value(fmt.Sprintf("%s[%d]", path, i), v, all.Index(i), tag); err != nil {
				return err
			}
		}
		to.Set(all)
	default:
		panic("strict: a field of type " + to.Type().String())
	}
	return nil
}

func figure(s string) float64 {
	n, _ := strconv.ParseFloat(s, 64)
	return n
}

// bounds holds a number against the tags min and max.
func (d decoder) bounds(path, got string, v float64, tag reflect.StructTag, read func(string) float64) error {
	lo, hi := tag.Get("min"), tag.Get("max")
	if (lo == "" || v >= read(lo)) && (hi == "" || v <= read(hi)) {
		return nil
	}
	switch {
	case hi == "":
		return d.lines.Errorf(path, "want %s or more, got %s", lo, got)
	case lo == "":
		return d.lines.Errorf(path, "want %s or less, got %s", hi, got)
	}
	return d.lines.Errorf(path, "want %s to %s, got %s", lo, hi, got)
}

func number(from any) (float64, bool) {
	switch n := from.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

// show is a value as its author wrote it, more or less.
func show(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = show(v[i])
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v)
}

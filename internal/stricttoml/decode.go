// Package stricttoml decodes TOML into structs. It rejects unknown keys and values that are not allowed. An error is
// a single-line message with the line number, the key and the allowed values.
//
// The struct tag toml names the key of a field. Further tags restrict the values. The tags min and max are bounds of
// numbers and durations. The tag one lists the allowed strings, separated by |. The tag need makes the key mandatory,
// unless the field has a default. The tags of a list or a map apply to the elements.
package stricttoml

import (
	"errors"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes text into the struct that to points to. Fields whose keys are missing from text keep their values.
// Decode returns the line numbers of the keys for further checks by the caller. Errors in text are of type *Error.
func Decode(text []byte, to any) (Lines, error) {
	var table map[string]any
	if err := toml.Unmarshal(text, &table); err != nil {
		return nil, syntaxError(err)
	}
	lines := indexLines(text)
	return lines, decoder{lines}.decodeStruct("", table, reflect.ValueOf(to).Elem())
}

// syntaxError returns a TOML parser's error as an *Error with the first line of the parser's message.
func syntaxError(err error) error {
	line := 1
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ = syntax.Position()
	}
	message, _, _ := strings.Cut(strings.TrimPrefix(err.Error(), "toml: "), "\n")
	return &Error{Line: line, Message: message}
}

type decoder struct{ lines Lines }

// decodeStruct sets the fields of a struct from a table.
func (d decoder) decodeStruct(key string, table map[string]any, to reflect.Value) error {
	fields := make(map[string]reflect.StructField) // by key
	var names []string                             // keys in the order of the struct's fields
	for i := range to.NumField() {
		field := to.Type().Field(i)
		if name := field.Tag.Get("toml"); name != "" {
			fields[name] = field
			names = append(names, name)
		}
	}
	if err := d.checkUnknown(key, table, names); err != nil {
		return err
	}
	for _, name := range names {
		field := fields[name]
		target := to.FieldByIndex(field.Index)
		from, ok := table[name]
		if !ok {
			if field.Tag.Get("need") != "" && target.IsZero() {
				return d.lines.Errorf(key, "%s: missing", name)
			}
			continue
		}
		if err := d.decodeValue(value{join(key, name), from, target, field.Tag}); err != nil {
			return err
		}
	}
	return nil
}

// checkUnknown returns an error for the first key of a table that is not among names.
func (d decoder) checkUnknown(key string, table map[string]any, names []string) error {
	var unknown []string
	for name := range table {
		if !slices.Contains(names, name) {
			unknown = append(unknown, join(key, name))
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	first := slices.MinFunc(unknown, d.lines.compare)
	return d.lines.Errorf(first, "unknown key; allowed are %s", strings.Join(names, ", "))
}

// decodeMap sets the map val.target from a table.
func (d decoder) decodeMap(val value) error {
	table, ok := val.parsed.(map[string]any)
	if !ok {
		return d.mismatchError(val, "a table")
	}
	val.target.Set(reflect.MakeMap(val.target.Type()))
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return d.lines.compare(join(val.key, a), join(val.key, b)) })
	for _, name := range names {
		element := reflect.New(val.target.Type().Elem()).Elem()
		if err := d.decodeValue(value{join(val.key, name), table[name], element, val.tag}); err != nil {
			return err
		}
		val.target.SetMapIndex(reflect.ValueOf(name), element)
	}
	return nil
}

package stricttoml

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Range is a number, or the bounds of a random number: 3 or [2, 4].
type Range struct{ Lo, Hi float64 }

// Interpolate returns the number at a fraction of the way from the lower bound to the upper one.
func (r Range) Interpolate(fraction float64) float64 { return r.Lo + (r.Hi-r.Lo)*fraction }

var (
	durationType = reflect.TypeFor[time.Duration]()
	rangeType    = reflect.TypeFor[Range]()
)

// value is a value of the text, with the Go value that it sets.
type value struct {
	key  string // dotted
	from any    // as the TOML parser returns it
	to   reflect.Value
	tag  reflect.StructTag
}

// decodeValue decodes one value. It panics if the field's type is not supported.
func (d decoder) decodeValue(val value) error {
	switch val.to.Type() {
	case durationType:
		return d.decodeDuration(val)
	case rangeType:
		return d.decodeRange(val)
	}
	switch val.to.Kind() {
	case reflect.Interface: // another package decodes it
		val.to.Set(reflect.ValueOf(val.from))
		return nil
	case reflect.Pointer:
		val.to.Set(reflect.New(val.to.Type().Elem()))
		return d.decodeValue(value{val.key, val.from, val.to.Elem(), val.tag})
	case reflect.String:
		return d.decodeText(val)
	case reflect.Bool:
		return d.decodeBool(val)
	case reflect.Int, reflect.Int64:
		return d.decodeInt(val)
	case reflect.Uint64:
		return d.decodeUint(val)
	case reflect.Float64:
		return d.decodeFloat(val)
	case reflect.Struct:
		table, ok := val.from.(map[string]any)
		if !ok {
			return d.wantError(val, "a table")
		}
		return d.decodeStruct(val.key, table, val.to)
	case reflect.Map:
		return d.decodeMap(val)
	case reflect.Slice:
		return d.decodeSlice(val)
	}
	panic("stricttoml: unsupported field type " + val.to.Type().String())
}

// wantError returns the error for a value of the wrong kind.
func (d decoder) wantError(val value, want string) error {
	return d.lines.Errorf(val.key, "want %s, got %s", want, format(val.from))
}

func (d decoder) decodeDuration(val value) error {
	text, ok := val.from.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil {
		return d.wantError(val, `a time with its unit, as in "1.5s"`)
	}
	val.to.SetInt(int64(duration))
	return d.checkBounds(val, duration.Seconds(), func(bound string) float64 {
		parsed, _ := time.ParseDuration(bound) // a tag of this program
		return parsed.Seconds()
	})
}

func (d decoder) decodeRange(val value) error {
	var decoded Range
	if number, ok := toFloat(val.from); ok {
		decoded = Range{number, number}
	} else {
		list, ok := val.from.([]any)
		if !ok || len(list) != 2 {
			return d.wantError(val, "a number, or two as in [1, 2]")
		}
		lower, ok1 := toFloat(list[0])
		upper, ok2 := toFloat(list[1])
		if !ok1 || !ok2 || lower > upper {
			return d.wantError(val, "a number, or two as in [1, 2], the lower one first")
		}
		decoded = Range{lower, upper}
	}
	val.to.Set(reflect.ValueOf(decoded))
	if err := d.checkBounds(val, decoded.Lo, parseBound); err != nil {
		return err
	}
	return d.checkBounds(val, decoded.Hi, parseBound)
}

func (d decoder) decodeText(val value) error {
	text, ok := val.from.(string)
	if !ok {
		return d.wantError(val, "a text in quotes")
	}
	if allowed := val.tag.Get("one"); allowed != "" && !slices.Contains(strings.Split(allowed, "|"), text) {
		return d.wantError(val, "one of "+strings.ReplaceAll(allowed, "|", ", "))
	}
	val.to.SetString(text)
	return nil
}

func (d decoder) decodeBool(val value) error {
	flag, ok := val.from.(bool)
	if !ok {
		return d.wantError(val, "true or false")
	}
	val.to.SetBool(flag)
	return nil
}

func (d decoder) decodeInt(val value) error {
	number, ok := val.from.(int64)
	if !ok {
		return d.wantError(val, "a whole number")
	}
	val.to.SetInt(number)
	return d.checkBounds(val, float64(number), parseBound)
}

func (d decoder) decodeUint(val value) error {
	number, ok := val.from.(int64)
	if !ok || number < 0 {
		return d.wantError(val, "a whole number of 0 or more")
	}
	val.to.SetUint(uint64(number))
	return nil
}

func (d decoder) decodeFloat(val value) error {
	number, ok := toFloat(val.from)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		return d.wantError(val, "a number")
	}
	val.to.SetFloat(number)
	return d.checkBounds(val, number, parseBound)
}

func (d decoder) decodeSlice(val value) error {
	list, ok := val.from.([]any)
	if !ok {
		return d.wantError(val, "a list")
	}
	elements := reflect.MakeSlice(val.to.Type(), len(list), len(list))
	for i, from := range list {
		key := fmt.Sprintf("%s[%d]", val.key, i)
		if err := d.decodeValue(value{key, from, elements.Index(i), val.tag}); err != nil {
			return err
		}
	}
	val.to.Set(elements)
	return nil
}

// checkBounds checks a number against the tags min and max, which parse reads.
func (d decoder) checkBounds(val value, number float64, parse func(bound string) float64) error {
	lower, upper := val.tag.Get("min"), val.tag.Get("max")
	if (lower == "" || number >= parse(lower)) && (upper == "" || number <= parse(upper)) {
		return nil
	}
	switch {
	case upper == "":
		return d.wantError(val, lower+" or more")
	case lower == "":
		return d.wantError(val, upper+" or less")
	}
	return d.wantError(val, lower+" to "+upper)
}

func parseBound(bound string) float64 {
	number, _ := strconv.ParseFloat(bound, 64) // a tag of this program
	return number
}

func toFloat(from any) (float64, bool) {
	switch number := from.(type) {
	case int64:
		return float64(number), true
	case float64:
		return number, true
	}
	return 0, false
}

// format returns a value roughly as the text has it.
func format(from any) string {
	switch from := from.(type) {
	case string:
		return strconv.Quote(from)
	case map[string]any:
		return "a table"
	case []any:
		elements := make([]string, len(from))
		for i := range from {
			elements[i] = format(from[i])
		}
		return "[" + strings.Join(elements, ", ") + "]"
	}
	return fmt.Sprint(from)
}

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

// Range is a fixed number, as in 3, or the bounds of a random number, as in [2, 4].
type Range struct{ Lo, Hi float64 }

// Interpolate returns the number at a fraction, from 0 to 1, of the way from Lo to Hi.
func (r Range) Interpolate(fraction float64) float64 { return r.Lo + (r.Hi-r.Lo)*fraction }

var (
	durationType = reflect.TypeFor[time.Duration]()
	rangeType    = reflect.TypeFor[Range]()
)

// value is a value in the text, together with the Go value that receives it.
type value struct {
	key    string // dotted key
	parsed any    // value that the TOML parser returned
	target reflect.Value
	tag    reflect.StructTag
}

// decodeValue decodes one value. It panics if the type of the target is not supported.
func (d decoder) decodeValue(val value) error {
	switch val.target.Type() {
	case durationType:
		return d.decodeDuration(val)
	case rangeType:
		return d.decodeRange(val)
	}
	switch val.target.Kind() {
	case reflect.Interface: // the parsed value is stored unchanged
		val.target.Set(reflect.ValueOf(val.parsed))
		return nil
	case reflect.Pointer:
		val.target.Set(reflect.New(val.target.Type().Elem()))
		return d.decodeValue(value{val.key, val.parsed, val.target.Elem(), val.tag})
	case reflect.String:
		return d.decodeString(val)
	case reflect.Bool:
		return d.decodeBool(val)
	case reflect.Int, reflect.Int64:
		return d.decodeInt(val)
	case reflect.Uint64:
		return d.decodeUint(val)
	case reflect.Float64:
		return d.decodeFloat(val)
	case reflect.Struct:
		table, ok := val.parsed.(map[string]any)
		if !ok {
			return d.mismatchError(val, "a table")
		}
		return d.decodeStruct(val.key, table, val.target)
	case reflect.Map:
		return d.decodeMap(val)
	case reflect.Slice:
		return d.decodeSlice(val)
	}
	panic("stricttoml: unsupported field type " + val.target.Type().String())
}

// mismatchError returns the error for a value that has the wrong type or is not allowed.
func (d decoder) mismatchError(val value, want string) error {
	return d.lines.Errorf(val.key, "want %s, got %s", want, format(val.parsed))
}

func (d decoder) decodeDuration(val value) error {
	text, ok := val.parsed.(string)
	duration, err := time.ParseDuration(text)
	if !ok || err != nil {
		return d.mismatchError(val, `a time with its unit, as in "1.5s"`)
	}
	val.target.SetInt(int64(duration))
	return d.checkBounds(val, duration.Seconds(), func(bound string) float64 {
		parsed, _ := time.ParseDuration(bound) // tags are constants of this program and valid
		return parsed.Seconds()
	})
}

func (d decoder) decodeRange(val value) error {
	var decoded Range
	if number, ok := toFloat(val.parsed); ok {
		decoded = Range{number, number}
	} else {
		list, ok := val.parsed.([]any)
		if !ok || len(list) != 2 {
			return d.mismatchError(val, "a number, or two as in [1, 2]")
		}
		lower, ok1 := toFloat(list[0])
		upper, ok2 := toFloat(list[1])
		if !ok1 || !ok2 || lower > upper {
			return d.mismatchError(val, "a number, or two as in [1, 2], the lower one first")
		}
		decoded = Range{lower, upper}
	}
	val.target.Set(reflect.ValueOf(decoded))
	if err := d.checkBounds(val, decoded.Lo, parseBound); err != nil {
		return err
	}
	return d.checkBounds(val, decoded.Hi, parseBound)
}

func (d decoder) decodeString(val value) error {
	text, ok := val.parsed.(string)
	if !ok {
		return d.mismatchError(val, "a text in quotes")
	}
	if allowed := val.tag.Get("one"); allowed != "" && !slices.Contains(strings.Split(allowed, "|"), text) {
		return d.mismatchError(val, "one of "+strings.ReplaceAll(allowed, "|", ", "))
	}
	val.target.SetString(text)
	return nil
}

func (d decoder) decodeBool(val value) error {
	flag, ok := val.parsed.(bool)
	if !ok {
		return d.mismatchError(val, "true or false")
	}
	val.target.SetBool(flag)
	return nil
}

func (d decoder) decodeInt(val value) error {
	number, ok := val.parsed.(int64)
	if !ok {
		return d.mismatchError(val, "a whole number")
	}
	val.target.SetInt(number)
	return d.checkBounds(val, float64(number), parseBound)
}

func (d decoder) decodeUint(val value) error {
	number, ok := val.parsed.(int64)
	if !ok || number < 0 {
		return d.mismatchError(val, "a whole number of 0 or more")
	}
	val.target.SetUint(uint64(number))
	return nil
}

func (d decoder) decodeFloat(val value) error {
	number, ok := toFloat(val.parsed)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		return d.mismatchError(val, "a number")
	}
	val.target.SetFloat(number)
	return d.checkBounds(val, number, parseBound)
}

func (d decoder) decodeSlice(val value) error {
	list, ok := val.parsed.([]any)
	if !ok {
		return d.mismatchError(val, "a list")
	}
	elements := reflect.MakeSlice(val.target.Type(), len(list), len(list))
	for i, from := range list {
		key := fmt.Sprintf("%s[%d]", val.key, i)
		if err := d.decodeValue(value{key, from, elements.Index(i), val.tag}); err != nil {
			return err
		}
	}
	val.target.Set(elements)
	return nil
}

// checkBounds checks a number against the tags min and max. parse converts the text of a tag to a number.
func (d decoder) checkBounds(val value, number float64, parse func(bound string) float64) error {
	lower, upper := val.tag.Get("min"), val.tag.Get("max")
	if (lower == "" || number >= parse(lower)) && (upper == "" || number <= parse(upper)) {
		return nil
	}
	switch {
	case upper == "":
		return d.mismatchError(val, lower+" or more")
	case lower == "":
		return d.mismatchError(val, upper+" or less")
	}
	return d.mismatchError(val, lower+" to "+upper)
}

func parseBound(bound string) float64 {
	number, _ := strconv.ParseFloat(bound, 64) // tags are constants of this program and valid
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

// format returns a value as text for an error message, similar to its TOML form.
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

package simprotocol

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// object reads the values of a JSON object by key. It records the first error. Unknown keys are ignored, and an
// absent key reads as the zero value.
type object struct {
	value *fastjson.Value
	path  string // prefix of keys in errors
	err   *error // the first error, shared by all objects of a message
}

func (o object) get(key string, want ...fastjson.Type) *fastjson.Value {
	v := o.value.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, t := range want {
		if v.Type() == t {
			return v
		}
	}
	o.fail(key, fmt.Sprintf("want %s, got %s", want[0], v.Type()))
	return nil
}

func (o object) fail(key, what string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: %s", o.path, key, what)
	}
}

func (o object) object(key string) object {
	return object{value: o.get(key, fastjson.TypeObject), path: o.path + key + ".", err: o.err}
}

func (o object) forEach(key string, do func(object)) {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return
	}
	for i, element := range v.GetArray() {
		at := fmt.Sprintf("%s%s[%d]", o.path, key, i)
		if element.Type() != fastjson.TypeObject {
			object{path: at, err: o.err}.fail("", "want object, got "+element.Type().String())
			return
		}
		do(object{value: element, path: at + ".", err: o.err})
	}
}

func (o object) number(key string) float64 {
	if v := o.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

func (o object) integer(key string) int {
	n := o.number(key)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		o.fail(key, "want a whole number")
		return 0
	}
	return int(n)
}

func (o object) millis(key string) time.Duration {
	n := o.number(key)
	if math.Abs(n) > maxMillis {
		o.fail(key, "out of range")
		return 0
	}
	return fromMillis(n)
}

func (o object) strs(key string) []string {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return nil
	}
	var all []string
	for i, element := range v.GetArray() {
		if element.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", key, i), "want string, got "+element.Type().String())
			return nil
		}
		all = append(all, stringOf(element))
	}
	return all
}

func (o object) str(key string) string { return stringOf(o.get(key, fastjson.TypeString)) }

func (o object) boolean(key string) bool {
	v := o.get(key, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.Type() == fastjson.TypeTrue
}

// enumValue returns the table's value for the string at a key. An absent key reads as the empty string.
func enumValue[T any](o object, key string, table map[string]T) T {
	s := o.str(key)
	t, ok := table[s]
	if !ok {
		o.fail(key, fmt.Sprintf("unknown value %q", s))
	}
	return t
}

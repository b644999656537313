package simprotocol

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxInterned is the maximum number of interned strings. Without a limit, names of servers that no longer exist would
// accumulate.
const maxInterned = 1 << 14

// args reads the values of a message by index. It records the first error.
type args struct {
	values  []*fastjson.Value
	decoder *Decoder
	err     error
}

func (a *args) fail(field, format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

// optional returns the value at index i, or nil if the value is absent or null. For a value of another type, it
// records an error and returns nil.
func (a *args) optional(i int, field string, want fastjson.Type) *fastjson.Value {
	if i >= len(a.values) || a.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	v := a.values[i]
	if v.Type() != want {
		a.fail(field, "want %s, got %s", want, v.Type())
		return nil
	}
	return v
}

func (a *args) required(i int, field string, want fastjson.Type) *fastjson.Value {
	v := a.optional(i, field, want)
	if v == nil {
		a.fail(field, "missing")
	}
	return v
}

func (a *args) str(i int, field string) string {
	return stringOf(a.required(i, field, fastjson.TypeString))
}

func (a *args) optStr(i int, field string) string {
	return stringOf(a.optional(i, field, fastjson.TypeString))
}

func stringOf(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// internedStr reads a string that occurs often and interns the string.
func (a *args) internedStr(i int, field string) string {
	return a.decoder.intern(a.required(i, field, fastjson.TypeString))
}

func (a *args) optInternedStr(i int, field string) string {
	return a.decoder.intern(a.optional(i, field, fastjson.TypeString))
}

func (d *Decoder) intern(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	b := v.GetStringBytes()
	if s, ok := d.interned[string(b)]; ok {
		return s
	}
	if d.interned == nil || len(d.interned) >= maxInterned {
		d.interned = make(map[string]string)
	}
	s := string(b)
	d.interned[s] = s
	return s
}

func (a *args) int(i int, field string) int {
	v := a.required(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Int()
	if err != nil {
		a.fail(field, "want a whole number, got %s", v)
	}
	return n
}

func (a *args) uint(i int, field string) uint64 {
	v := a.required(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil {
		a.fail(field, "want a whole number of 0 or more, got %s", v)
	}
	return n
}

func (a *args) millis(i int, field string) time.Duration {
	return a.duration(a.required(i, field, fastjson.TypeNumber), field)
}

func (a *args) optMillis(i int, field string) time.Duration {
	return a.duration(a.optional(i, field, fastjson.TypeNumber), field)
}

func (a *args) duration(v *fastjson.Value, field string) time.Duration {
	if v == nil {
		return 0
	}
	ms := v.GetFloat64()
	if ms != ms || math.Abs(ms) > maxMillis {
		a.fail(field, "out of range: %s", v)
		return 0
	}
	return fromMillis(ms)
}

// maxMillis is the maximum accepted time in milliseconds: half of the range of time.Duration, about 146 years.
const maxMillis = math.MaxInt64 / 2e6

// fromMillis returns ms milliseconds as a duration, rounded to a microsecond, the protocol's resolution.
func fromMillis(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

func (a *args) optBool(i int, field string) bool {
	if i >= len(a.values) {
		return false
	}
	switch a.values[i].Type() {
	case fastjson.TypeTrue:
		return true
	case fastjson.TypeFalse, fastjson.TypeNull:
		return false
	}
	a.fail(field, "want a bool, got %s", a.values[i].Type())
	return false
}

func (a *args) loadReport(i int) []float64 {
	v := a.optional(i, "metrics", fastjson.TypeArray)
	if v == nil {
		return nil
	}
	report := make([]float64, 0, len(v.GetArray()))
	for _, element := range v.GetArray() {
		n := math.NaN() // null: the value is absent
		if element.Type() == fastjson.TypeNumber {
			n = element.GetFloat64()
		} else if element.Type() != fastjson.TypeNull {
			a.fail("metrics", "want numbers, got %s", element.Type())
		}
		report = append(report, n)
	}
	return report
}

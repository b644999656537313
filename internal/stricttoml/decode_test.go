package stricttoml

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

// document has a field of each type that Decode supports.
type document struct {
	Text     string           `toml:"text" one:"red|green"`
	Flag     bool             `toml:"flag"`
	Count    int              `toml:"count" min:"2" max:"5"`
	Unsigned uint64           `toml:"unsigned"`
	Ratio    float64          `toml:"ratio" min:"0.5"`
	Time     time.Duration    `toml:"time" max:"1m"`
	Draw     Range            `toml:"draw" min:"1"`
	Any      any              `toml:"any"`
	Texts    []string         `toml:"texts"`
	Weights  map[string]int64 `toml:"weights" max:"9"`
	Optional *element         `toml:"optional"`
	Elements []element        `toml:"element"`
	Ignored  int
}

type element struct {
	Name string `toml:"name" need:"1"`
	Size int    `toml:"size"`
}

// TestDecode_SetsFields checks that Decode sets values of each type, keeps defaults and records line numbers.
func TestDecode_SetsFields(t *testing.T) {
	const text = `text = "green"
flag = true
count = 3
unsigned = 7
ratio = 0.5
time = "1.5s"
draw = [1, 2.5]
any = 4
texts = ["a", "b"]
weights = {x = 1, y = 2}

[optional]
name = "one"

[[element]]
name = "two"

[[element]]
name = "three"
size = 8
`
	got := document{Ignored: 1, Optional: &element{Size: 5}}
	lines, err := Decode([]byte(text), &got)
	want := document{
		Text: "green", Flag: true, Count: 3, Unsigned: 7, Ratio: 0.5, Time: 1500 * time.Millisecond,
		Draw: Range{1, 2.5}, Any: int64(4), Texts: []string{"a", "b"}, Weights: map[string]int64{"x": 1, "y": 2},
		Optional: &element{Name: "one"}, Elements: []element{{"two", 0}, {"three", 8}}, Ignored: 1,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	for key, line := range map[string]int{
		"text": 1, "weights.y": 10, "optional": 12, "optional.name": 13, "element[0]": 15, "element[1].size": 20,
		"element[1].other": 18, "draw[1]": 7, "other": 1, "": 1,
	} {
		if lines.At(key) != line {
			t.Errorf("%q is at line %d, want %d", key, lines.At(key), line)
		}
	}
}

// TestDecode_Errors checks that Decode returns the complete message of each error.
func TestDecode_Errors(t *testing.T) {
	const twoNumbers = "want a number, or two as in [1, 2]"
	const allKeys = "text, flag, count, unsigned, ratio, time, draw, any, texts, weights, optional, element"
	for text, want := range map[string]string{
		"flag = true\ntext = \"blue\"": `2: text: want one of red, green, got "blue"`,
		"text = 3":                     "1: text: want a text in quotes, got 3",
		"flag = \"yes\"":               `1: flag: want true or false, got "yes"`,
		"count = 1.5":                  "1: count: want a whole number, got 1.5",
		"count = 6":                    "1: count: want 2 to 5, got 6",
		"unsigned = -1":                "1: unsigned: want a whole number of 0 or more, got -1",
		"ratio = nan":                  "1: ratio: want a number, got NaN",
		"ratio = 0.25":                 "1: ratio: want 0.5 or more, got 0.25",
		"time = 3":                     `1: time: want a time with its unit, as in "1.5s", got 3`,
		"time = \"2m\"":                `1: time: want 1m or less, got "2m"`,
		"draw = [1]":                   "1: draw: " + twoNumbers + ", got [1]",
		"draw = [3, 2]":                "1: draw: " + twoNumbers + ", the lower one first, got [3, 2]",
		"draw = [0.5, 2]":              "1: draw: want 1 or more, got [0.5, 2]",
		"draw = \"1\"":                 "1: draw: " + twoNumbers + `, got "1"`,
		"texts = \"a\"":                `1: texts: want a list, got "a"`,
		"texts = [\"a\", 3]":           "1: texts[1]: want a text in quotes, got 3",
		"weights = 3":                  "1: weights: want a table, got 3",
		"weights = {x = 1, y = 10}":    "1: weights.y: want 9 or less, got 10",
		"[weights]\ny = 12\nx = 11":    "2: weights.y: want 9 or less, got 12",
		"optional = 3":                 "1: optional: want a table, got 3",
		"[optional]\nsize = 1":         "1: optional: name: missing",
		"[[element]]\nname = \"a\"\n[[element]]\n":   "3: element[1]: name: missing",
		"[[element]]\nname = \"a\"\ncolour = \"b\"":  "3: element[0].colour: unknown key; allowed are name, size",
		"element = [{name = \"a\"}, {sise = 1}]":     "1: element[1].sise: unknown key; allowed are name, size",
		"flag = true\nb = 1\na = 1":                  "2: b: unknown key; allowed are " + allKeys,
		"Ignored = 1":                                "1: Ignored: unknown key; allowed are " + allKeys,
		"flag = true\nflag = true":                   "2: key flag is already defined",
		"\nflag = ":                                  "2: expected value, not end of input",
		"optional.name = \"a\"\noptional.other = 1":  "2: optional.other: unknown key; allowed are name, size",
		"optional = {name = \"a\", other = {x = 1}}": "1: optional.other: unknown key; allowed are name, size",
	} {
		_, err := Decode([]byte(text), new(document))
		var typed *Error
		if !errors.As(err, &typed) || err.Error() != want {
			t.Errorf("%q: got error\n%v\nwant\n%s", text, err, want)
		}
	}
}

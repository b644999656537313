package ascii

import (
	"strings"
	"testing"
)

func TestEqualFold(t *testing.T) {
	for _, test := range []struct {
		text string
		want bool
	}{
		{"content-length", true},
		{"Content-Length", true},
		{"CONTENT-LENGTH", true},
		{"content-lengtH", true},
		{"content-lengt", false},
		{"content-length ", false},
		{"content\rlength", false}, // '\r' and '-' differ only in the bit 0x20, like 'a' and 'A'
		{"", false},
	} {
		if got := EqualFold([]byte(test.text), "content-length"); got != test.want {
			t.Errorf("EqualFold(%q): %v, want %v", test.text, got, test.want)
		}
	}
	if EqualFold([]byte("\u017f"), "s") || EqualFold([]byte("\u212a"), "k") {
		t.Error("EqualFold folds letters beyond ASCII")
	}
}

func TestParseDecimal(t *testing.T) {
	for _, test := range []struct {
		text string
		want uint64
		ok   bool
	}{
		{"0", 0, true},
		{"007", 7, true},
		{"123456789012345678", 123456789012345678, true},
		{strings.Repeat("9", 18), 999999999999999999, true},
		{strings.Repeat("1", 19), 0, false},
		{"", 0, false},
		{"+1", 0, false},
		{"-1", 0, false},
		{"1,1", 0, false},
		{" 1", 0, false},
		{"0x1", 0, false},
	} {
		got, ok := ParseDecimal([]byte(test.text), 18)
		if ok != test.ok || ok && got != test.want {
			t.Errorf("ParseDecimal(%q): %d, %v, want %d, %v", test.text, got, ok, test.want, test.ok)
		}
	}
}

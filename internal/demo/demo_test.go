package demo

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// A demonstration ends by itself, keeps the rules, tells of each class, and leaves nothing behind.
func TestDemonstration(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	if err := Run(t.Context(), Config{For: 1500 * time.Millisecond, Rate: 100}, &out, false); err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	for _, want := range []string{
		`hladanie +\d+ +\d+ +\d+ +\d+ +\d+ ms +\d+ ms`, `rezervacia +\d+`, `zrusenie +\d+`,
		`[1-9]\d* bookings reached a server, and 0 of them ran twice`, `Every request had one answer`,
	} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("no %q in\n%s", want, &out)
		}
	}
}

// The proof can fail: a booking that ran twice, and an answer that is missing, are errors.
func TestReportTellsOfABreach(t *testing.T) {
	for name, spoil := range map[string]func(*world){
		"twice": func(w *world) { w.booked["b1"], w.ran["b1"] = true, 2 },
		"lost":  func(w *world) { w.classes["hladanie"].lost++ },
	} {
		w := newWorld(Config{})
		w.classes = map[string]*tally{"hladanie": {}, "rezervacia": {}, "zrusenie": {}}
		var out bytes.Buffer
		if err := w.report(&out); err != nil {
			t.Fatal(err)
		}
		spoil(w)
		out.Reset()
		if err := w.report(&out); err == nil || strings.Contains(out.String(), "Every request") {
			t.Errorf("%s: %v\n%s", name, err, &out)
		}
	}
}

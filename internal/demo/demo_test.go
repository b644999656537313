package demo

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestRun_ReportsEachClass checks that a demonstration ends by itself, loses no request, and executes no booking
// twice. It reports on each class and leaks no goroutine.
func TestRun_ReportsEachClass(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	if err := Run(t.Context(), Config{Duration: 1500 * time.Millisecond, Rate: 100}, &out, false); err != nil {
		t.Fatalf("Run failed: %v\n%s", err, &out)
	}
	for _, want := range []string{
		`hladanie +\d+ +\d+ +\d+ +\d+ +\d+ ms +\d+ ms`, `rezervacia +\d+`, `zrusenie +\d+`,
		`[1-9]\d* bookings reached a server, and 0 of them ran twice`, `Every request had one answer`,
	} {
		if !regexp.MustCompile(want).MatchString(out.String()) {
			t.Errorf("no match for %q in the output:\n%s", want, &out)
		}
	}
}

// TestReport_FailsOnBrokenRule checks that the report returns an error for a booking that was executed twice, and for
// a lost request.
func TestReport_FailsOnBrokenRule(t *testing.T) {
	for name, breakRule := range map[string]func(*demonstration){
		"twice": func(d *demonstration) { d.bookings["b1"], d.executions["b1"] = true, 2 },
		"lost":  func(d *demonstration) { d.classes["hladanie"].lost++ },
	} {
		demo := newDemonstration(Config{})
		var out bytes.Buffer
		if err := demo.report(&out); err != nil {
			t.Fatal(err)
		}
		breakRule(demo)
		out.Reset()
		if err := demo.report(&out); err == nil || strings.Contains(out.String(), "Every request") {
			t.Errorf("%s: report returned error %v and wrote:\n%s", name, err, &out)
		}
	}
}

package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"cobaltward/emulator/result"
)

// Compare writes the main figures of two results side by side, with their differences.
func Compare(w io.Writer, first, second *result.Result) error {
	var t text
	t.printf("A: %s, seed %d, %s time\n", first.Title, first.Seed, first.Clock)
	t.printf("B: %s, seed %d, %s time\n", second.Title, second.Seed, second.Clock)
	if first.Digest == second.Digest {
		t.printf("Every request came to the same end in both.\n")
	}
	t.printf("\n")
	rows := []string{"worth kept\tA\tB\tB - A\tp99 ms A\tB\t"}
	rows = append(rows, compareService(Rows(first), Rows(second))...)
	for _, figure := range []struct {
		name string
		a, b int
	}{
		{"attempts", first.ServerAttempts, second.ServerAttempts},
		{"beyond the first", first.Retries, second.Retries},
		{"to another zone", first.CrossZone, second.CrossZone},
		{"work for nobody, s", int(first.WastedWork), int(second.WastedWork)},
		{"breaches", violationCount(first), violationCount(second)},
	} {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%+d\t\t\t", figure.name, figure.a, figure.b, figure.b-figure.a))
	}
	t.table(tabwriter.AlignRight, rows)
	_, err := t.WriteTo(w)
	return err
}

// compareService returns a table row for each class, tenant and zone in either result.
func compareService(as, bs []Row) (rows []string) {
	for _, a := range as {
		i := slices.IndexFunc(bs, func(b Row) bool { return b.Name == a.Name })
		if i < 0 {
			rows = append(rows, fmt.Sprintf("%s\t%.3f\t-\t\t%.0f\t-\t", a.Name, a.ValueShare(), a.P99))
			continue
		}
		b := bs[i]
		rows = append(rows, fmt.Sprintf("%s\t%.3f\t%.3f\t%+.3f\t%.0f\t%.0f\t",
			a.Name, a.ValueShare(), b.ValueShare(), b.ValueShare()-a.ValueShare(), a.P99, b.P99))
	}
	for _, b := range bs {
		if !slices.ContainsFunc(as, func(a Row) bool { return a.Name == b.Name }) {
			rows = append(rows, fmt.Sprintf("%s\t-\t%.3f\t\t-\t%.0f\t", b.Name, b.ValueShare(), b.P99))
		}
	}
	return rows
}

func violationCount(r *result.Result) (n int) {
	for _, count := range r.Verdict.Count {
		n += count
	}
	return n
}

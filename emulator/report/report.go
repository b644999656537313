// Package report tells what a rehearsal came to: as a text for people, as JSON for machines, and two of them
// side by side. Package page makes pages with plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/result"
)

const shownBreaches = 10 // of each rule, in the text

// JSON writes a result for machines: the same bytes for the same result.
func JSON(w io.Writer, r *result.Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// Load reads what JSON wrote.
func Load(path string) (*result.Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := new(result.Result)
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Verdict == nil || r.All == nil {
		return nil, fmt.Errorf("%s: it is no result of a rehearsal", path)
	}
	return r, nil
}

// Rows are the parts of a result's service with their names, in a fixed order.
func Rows(r *result.Result) (names []string, all []*result.Service) {
	names, all = []string{"all"}, []*result.Service{r.All}
	for _, part := range []struct {
		kind string
		of   map[string]*result.Service
	}{{"class ", r.Classes}, {"workspace ", r.Tenants}, {"zone ", r.ByZone}} {
		keys := make([]string, 0, len(part.of))
		for k := range part.of {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			names, all = append(names, part.kind+k), append(all, part.of[k])
		}
	}
	return names, all
}

// Text writes a result for people.
func Text(w io.Writer, r *result.Result) error {
	fmt.Fprintf(w, "%s: %d servers, %d nodes, %v of traffic, seed %d, %s time\n\n", r.Title, r.Servers, r.Nodes, r.Length, r.Seed, r.Clock)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\toffered\tin aim\tlate\trefused\tfailed\tmissed\tgave up\tworth kept\tin share, in aim\tp50 ms\tp99 ms\t")
	names, all := Rows(r)
	for i, s := range all {
		within := "-"
		if s.Within > 0 {
			within = fmt.Sprintf("%.3f", float64(s.WithinOK)/float64(s.Within))
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%.0f\t%.0f\t\n", names[i], s.Offered, s.InAim, s.Late, s.Refused, s.Failed, s.Missed, s.GaveUp, s.Share(), within, s.P50, s.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\n%d tries, %d attempts, %d of them beyond a try's first, %d to another zone, %d connections; %.0f s of work for %.0f s asked for, %.0f s of it for nobody.\n",
		r.Tries, r.Attempts, r.Repeats, r.Crossing, r.Conns, r.Work, r.Offered, r.Waste)
	if len(r.Faults) > 0 {
		fmt.Fprintln(w)
		t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "fault\tfrom\tto\thit\trequests that met it\tserved\tmet it alone\tserved")
		for _, f := range r.Faults {
			fmt.Fprintf(t, "%s\t%v\t%v\t%s\t%d\t%d\t%d\t%d\n", f.Label, f.From, f.To, some(f.Hit), f.Met, f.Served, f.Alone, f.AloneOK)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	fmt.Fprintln(w)
	if r.Void != "" {
		fmt.Fprintf(w, "VOID: %s\n", r.Void)
	}
	for _, rule := range checker.Rules {
		n := r.Verdict.Count[rule]
		if n == 0 {
			fmt.Fprintf(w, "rule %d, %v: kept (%d facts)\n", rule, rule, r.Verdict.Checked[rule])
			continue
		}
		fmt.Fprintf(w, "rule %d, %v: BROKEN %d times\n", rule, rule, n)
		shown := 0
		for _, b := range r.Verdict.Breaches {
			if b.Rule == rule && shown < shownBreaches {
				shown++
				fmt.Fprintf(w, "  %s\n", Breach(b))
			}
		}
		if n > shown {
			fmt.Fprintf(w, "  ... and %d more\n", n-shown)
		}
	}
	_, err := fmt.Fprintf(w, "outcomes %s\n", r.Digest[:16])
	return err
}

// Breach is one breach in a line.
func Breach(b checker.Breach) string {
	parts := []string{fmt.Sprintf("%.3f s", b.At.Seconds())}
	for _, p := range []struct{ what, v string }{{"request", b.ID}, {"node", b.Node}, {"server", b.Server}} {
		if p.v != "" {
			parts = append(parts, p.what+" "+p.v)
		}
	}
	return strings.Join(parts, ", ") + ": " + b.What
}

// some names the first of many.
func some(names []string) string {
	if len(names) > 4 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], " "), len(names)-3)
	}
	return strings.Join(names, " ")
}

// Compare writes two results side by side.
func Compare(w io.Writer, a, b *result.Result) error {
	fmt.Fprintf(w, "A: %s, seed %d, %s time\nB: %s, seed %d, %s time\n", a.Title, a.Seed, a.Clock, b.Title, b.Seed, b.Clock)
	if a.Digest == b.Digest {
		fmt.Fprintln(w, "Every request came to the same end in both.")
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "worth kept\tA\tB\tB - A\tp99 ms A\tB\t")
	an, as := Rows(a)
	bn, bs := Rows(b)
	for i, name := range an {
		j := slices.Index(bn, name)
		if j < 0 {
			fmt.Fprintf(t, "%s\t%.3f\t-\t\t%.0f\t-\t\n", name, as[i].Share(), as[i].P99)
			continue
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%.0f\t%.0f\t\n", name, as[i].Share(), bs[j].Share(), bs[j].Share()-as[i].Share(), as[i].P99, bs[j].P99)
	}
	for j, name := range bn {
		if !slices.Contains(an, name) {
			fmt.Fprintf(t, "%s\t-\t%.3f\t\t-\t%.0f\t\n", name, bs[j].Share(), bs[j].P99)
		}
	}
	for _, c := range []struct {
		name string
		a, b int
	}{
		{"attempts", a.Attempts, b.Attempts},
		{"beyond the first", a.Repeats, b.Repeats},
		{"to another zone", a.Crossing, b.Crossing},
		{"work for nobody, s", int(a.Waste), int(b.Waste)},
		{"breaches", breaches(a), breaches(b)},
	} {
		fmt.Fprintf(t, "%s\t%d\t%d\t%+d\t\t\t\n", c.name, c.a, c.b, c.b-c.a)
	}
	return t.Flush()
}

func breaches(r *result.Result) (n int) {
	for _, c := range r.Verdict.Count {
		n += c
	}
	return n
}

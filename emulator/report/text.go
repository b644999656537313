package report

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/result"
)

const (
	maxShownViolations = 10 // maximum number of violations listed for each rule
	maxShownTargets    = 4  // maximum number of servers and nodes listed for each fault
)

// text is a buffer that collects a report. Writes to the buffer never fail.
type text struct{ bytes.Buffer }

func (t *text) printf(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }

// table appends a table. Each row is a line whose cells are separated by tabs.
func (t *text) table(flags uint, rows []string) {
	table := tabwriter.NewWriter(t, 0, 0, 2, ' ', flags)
	_, _ = io.WriteString(table, strings.Join(rows, "\n")+"\n")
	_ = table.Flush() // fails only if a write to the buffer fails
}

// Text writes a result as plain text with tables.
func Text(w io.Writer, r *result.Result) error {
	var t text
	t.printf("%s: %d servers, %d nodes, %v of traffic, seed %d, %s time\n\n",
		r.Title, r.Servers, r.Nodes, r.Duration, r.Seed, r.Clock)
	t.service(r)
	t.printf("\n%d tries, %d attempts, %d of them beyond a try's first, %d to another zone, %d connections; "+
		"%.0f s of work for %.0f s asked for, %.0f s of it for nobody.\n",
		r.ClientAttempts, r.ServerAttempts, r.Retries, r.CrossZone, r.Connections,
		r.Work, r.OfferedWork, r.WastedWork)
	if len(r.Faults) > 0 {
		t.printf("\n")
		t.faults(r)
	}
	t.printf("\n")
	if r.InvalidReason != "" {
		t.printf("VOID: %s\n", r.InvalidReason)
	}
	for _, rule := range checker.Rules {
		t.rule(rule, r.Verdict)
	}
	t.printf("outcomes %s\n", r.Digest[:16])
	_, err := t.WriteTo(w)
	return err
}

// service appends the table of outcomes: for all requests, and by class, tenant and zone.
func (t *text) service(r *result.Result) {
	rows := []string{"service\toffered\tin aim\tlate\trefused\tfailed\tmissed\tgave up\tworth kept\t" +
		"in share, in aim\tp50 ms\tp99 ms\t"}
	for _, s := range Rows(r) {
		withinQuota := "-"
		if s.WithinQuota > 0 {
			withinQuota = fmt.Sprintf("%.3f", float64(s.WithinQuotaOnTime)/float64(s.WithinQuota))
		}
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%.0f\t%.0f\t",
			s.Name, s.Offered, s.OnTime, s.Late, s.Rejected, s.Failed, s.Unreachable, s.ClientLeft,
			s.ValueShare(), withinQuota, s.P50, s.P99))
	}
	t.table(tabwriter.AlignRight, rows)
}

// faults appends the table of the faults and their effects on requests.
func (t *text) faults(r *result.Result) {
	rows := []string{"fault\tfrom\tto\thit\trequests that met it\tserved\tmet it alone\tserved"}
	for _, f := range r.Faults {
		rows = append(rows, fmt.Sprintf("%s\t%v\t%v\t%s\t%d\t%d\t%d\t%d", f.Label, f.From, f.To, abbreviate(f.Targets),
			f.Affected, f.AffectedServed, f.AffectedAlone, f.AffectedAloneServed))
	}
	t.table(0, rows)
}

// rule appends the verdict on a rule with its first violations.
func (t *text) rule(rule checker.Rule, verdict *checker.Verdict) {
	count := verdict.Count[rule]
	if count == 0 {
		t.printf("rule %d, %v: kept (%d facts)\n", rule, rule, verdict.Checked[rule])
		return
	}
	t.printf("rule %d, %v: BROKEN %d times\n", rule, rule, count)
	shown := 0
	for _, violation := range verdict.Violations {
		if violation.Rule == rule && shown < maxShownViolations {
			shown++
			t.printf("  %s\n", Violation(violation))
		}
	}
	if count > shown {
		t.printf("  ... and %d more\n", count-shown)
	}
}

// abbreviate joins names with spaces. It replaces the last names by their count if there are more than
// maxShownTargets.
func abbreviate(names []string) string {
	if len(names) > maxShownTargets {
		shown := maxShownTargets - 1
		return fmt.Sprintf("%s and %d more", strings.Join(names[:shown], " "), len(names)-shown)
	}
	return strings.Join(names, " ")
}

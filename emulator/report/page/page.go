// Package page writes the result of a rehearsal as an HTML page with plots over time. The page loads no resources
// from the network.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/report"
	"cobaltward/emulator/result"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"s": func(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) },
}).Parse(pageText))

// pageData is the input of the page template.
type pageData struct {
	Result *result.Result
	Rows   []report.Row
	Rules  []ruleData
	Plots  []plotData
}

// ruleData is the verdict on one rule for the page.
type ruleData struct {
	Rule       checker.Rule
	Checked    int
	Count      int
	Violations []string
}

type plotData struct {
	Title string
	SVG   template.HTML
}

// Write writes the page of a result.
func Write(w io.Writer, r *result.Result) error {
	data := pageData{Result: r, Rows: report.Rows(r)}
	for _, rule := range checker.Rules {
		data.Rules = append(data.Rules, newRuleData(rule, r.Verdict))
	}
	for _, chart := range charts(r) {
		svg, err := render(r, chart)
		if err != nil {
			return fmt.Errorf("plot %q: %w", chart.title, err)
		}
		// The SVG is safe to mark as HTML: the plot escapes names, and all other values in the SVG are numbers.
		data.Plots = append(data.Plots, plotData{chart.title, template.HTML(svg)})
	}
	return page.Execute(w, data)
}

func newRuleData(rule checker.Rule, verdict *checker.Verdict) ruleData {
	data := ruleData{Rule: rule, Checked: verdict.Checked[rule], Count: verdict.Count[rule]}
	for _, violation := range verdict.Violations {
		if violation.Rule == rule {
			data.Violations = append(data.Violations, report.Violation(violation))
		}
	}
	return data
}

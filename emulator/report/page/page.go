// Package page makes a page of a rehearsal with plots over time, which opens without a network.
package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/report"
	"cobaltward/emulator/result"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width, height = 24 * vg.Centimeter, 7 * vg.Centimeter
	mostServers   = 80 // whose thresholds are drawn
)

// Write writes the page of one result.
func Write(w io.Writer, r *result.Result) error {
	type line struct {
		Name  string
		S     *result.Service
		Share string
	}
	type rule struct {
		Rule     checker.Rule
		Facts    int
		Count    int
		Breaches []string
	}
	data := struct {
		R     *result.Result
		Lines []line
		Rules []rule
		Plots []struct {
			Title string
			SVG   template.HTML
		}
	}{R: r}
	names, all := report.Rows(r)
	for i, s := range all {
		data.Lines = append(data.Lines, line{names[i], s, fmt.Sprintf("%.3f", s.Share())})
	}
	for _, ru := range checker.Rules {
		one := rule{Rule: ru, Facts: r.Verdict.Checked[ru], Count: r.Verdict.Count[ru]}
		for _, b := range r.Verdict.Breaches {
			if b.Rule == ru {
				one.Breaches = append(one.Breaches, report.Breach(b))
			}
		}
		data.Rules = append(data.Rules, one)
	}
	for _, p := range plots(r) {
		svg, err := render(r, p)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, struct {
			Title string
			SVG   template.HTML
		}{p.title, template.HTML(svg)}) // made here, of numbers; names go through the plot's own escaping
	}
	return page.Execute(w, data)
}

// chart is what one plot shows.
type chart struct {
	title, unit string
	lines       []series
}

type series struct {
	name string // none: without a place in the legend
	y    []float64
}

func plots(r *result.Result) []chart {
	col := func(name string, of func(result.Second) int) series {
		s := series{name: name}
		for _, x := range r.Seconds {
			s.y = append(s.y, float64(of(x)))
		}
		return s
	}
	all := []chart{
		{"What came of the requests, by the second in which they came", "requests a second", []series{
			col("offered", func(s result.Second) int { return s.Offered }), col("served", func(s result.Second) int { return s.Served }),
			col("refused", func(s result.Second) int { return s.Refused }), col("failed", func(s result.Second) int { return s.Failed }),
		}},
		{"In flight, and attempts", "requests; attempts a second", []series{
			col("in flight", func(s result.Second) int { return s.InFlight }), col("attempts", func(s result.Second) int { return s.Attempts }),
			col("to another zone", func(s result.Second) int { return s.Crossing }),
		}},
	}
	byServer := make(map[string][]float64)
	for i, row := range r.Samples {
		for _, s := range row {
			y := byServer[s.Server]
			for len(y) < i {
				y = append(y, math.NaN())
			}
			byServer[s.Server] = append(y, s.Threshold)
		}
	}
	ids := make([]string, 0, len(byServer))
	for id := range byServer {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	c := chart{"Thresholds of the servers, as the first node has learned them", "attempts in flight", nil}
	for _, id := range ids[:min(len(ids), mostServers)] {
		c.lines = append(c.lines, series{"", byServer[id]})
	}
	return append(all, c)
}

func render(r *result.Result, c chart) ([]byte, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", c.unit
	p.Y.Min, p.Legend.Top = 0, true
	highest := 1.0
	for _, s := range c.lines {
		for _, y := range s.y {
			if !math.IsNaN(y) {
				highest = max(highest, y)
			}
		}
	}
	p.Y.Max = highest * 1.15
	for _, f := range r.Faults { // behind all else
		x0, x1 := f.From.Seconds(), f.To.Seconds()
		shade, err := plotter.NewPolygon(plotter.XYs{{X: x0, Y: 0}, {X: x1, Y: 0}, {X: x1, Y: p.Y.Max}, {X: x0, Y: p.Y.Max}})
		if err != nil {
			return nil, err
		}
		shade.Color, shade.LineStyle.Width = color.NRGBA{R: 200, G: 90, B: 60, A: 30}, 0
		p.Add(shade)
	}
	p.Add(plotter.NewGrid())
	for i, s := range c.lines {
		var run plotter.XYs
		first := true
		flush := func() error {
			if len(run) == 0 {
				return nil
			}
			l, err := plotter.NewLine(run)
			if err != nil {
				return err
			}
			l.Color, l.Width = plotutil.Color(i), vg.Points(1.2)
			if s.name == "" {
				l.Width = vg.Points(0.6)
			}
			p.Add(l)
			if first && s.name != "" {
				p.Legend.Add(s.name, l)
			}
			first, run = false, nil
			return nil
		}
		for x, y := range s.y {
			if math.IsNaN(y) { // nothing was known then
				if err := flush(); err != nil {
					return nil, err
				}
				continue
			}
			run = append(run, plotter.XY{X: float64(x), Y: y})
		}
		if err := flush(); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, max(1, float64(len(r.Seconds)))
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	_, svg, ok := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !ok {
		return nil, fmt.Errorf("page: the plot %q is no SVG", c.title)
	}
	return append([]byte("<svg"), svg...), nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"s": func(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Title}}</title>
<style>
body { font: 15px sans-serif; max-width: 62em; margin: 2em auto; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .7em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } .broken { color: #b00020 } .kept { color: #1b6e2e } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.R.Title}}</h1>
<p>{{.R.Servers}} servers, {{.R.Nodes}} nodes, {{s .R.Length}} of traffic, seed {{.R.Seed}}, {{.R.Clock}} time; outcomes <code>{{slice .R.Digest 0 16}}</code>.</p>
{{if .R.Void}}<p class="broken"><b>Void:</b> {{.R.Void}}</p>{{end}}
<h2>The four rules</h2>
{{range .Rules}}<p class="{{if .Count}}broken{{else}}kept{{end}}">{{printf "%d" .Rule}}. {{.Rule}}: {{if .Count}}broken {{.Count}} times{{else}}kept{{end}} ({{.Facts}} facts)</p>
{{if .Breaches}}<ul>{{range .Breaches}}<li>{{.}}</li>{{end}}</ul>{{end}}{{end}}
<h2>Service</h2>
<table><tr><th></th><th>offered</th><th>in aim</th><th>late</th><th>refused</th><th>failed</th><th>missed</th><th>gave up</th><th>worth kept</th><th>p50 ms</th><th>p99 ms</th></tr>
{{range .Lines}}<tr><td>{{.Name}}</td><td>{{.S.Offered}}</td><td>{{.S.InAim}}</td><td>{{.S.Late}}</td><td>{{.S.Refused}}</td><td>{{.S.Failed}}</td><td>{{.S.Missed}}</td><td>{{.S.GaveUp}}</td><td>{{.Share}}</td><td>{{printf "%.0f" .S.P50}}</td><td>{{printf "%.0f" .S.P99}}</td></tr>
{{end}}</table>
<p>{{.R.Tries}} tries, {{.R.Attempts}} attempts, {{.R.Repeats}} of them beyond a try's first, {{.R.Crossing}} to another zone, {{.R.Conns}} connections; {{printf "%.0f" .R.Waste}} of {{printf "%.0f" .R.Work}} s of work for nobody.</p>
{{if .R.Faults}}<h2>Faults</h2>
<table><tr><th>fault</th><th>from</th><th>to</th><th>hit</th><th>met by</th><th>served</th><th>met alone</th><th>served</th></tr>
{{range .R.Faults}}<tr><td>{{.Label}}</td><td>{{s .From}}</td><td>{{s .To}}</td><td>{{range .Hit}}{{.}} {{end}}</td><td>{{.Met}}</td><td>{{.Served}}</td><td>{{.Alone}}</td><td>{{.AloneOK}}</td></tr>
{{end}}</table>{{end}}
<h2>Over time</h2><p>Shaded: a fault is in force.</p>
{{range .Plots}}<h3>{{.Title}}</h3>{{.SVG}}
{{end}}</body></html>
`))

package page

import (
	"bytes"
	"errors"
	"image/color"
	"maps"
	"math"
	"slices"

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
	maxServers    = 80   // maximum number of servers whose thresholds are drawn
	headroom      = 1.15 // upper end of the y-axis, as a multiple of the highest value
)

// chart is the content of one plot.
type chart struct {
	title, unit string
	lines       []series
}

// series is a line with one value per second. NaN marks an unknown value.
type series struct {
	name   string // name in the legend; empty: not in the legend
	values []float64
}

// charts returns the plots of a result.
func charts(r *result.Result) []chart {
	bySecond := func(name string, value func(result.Second) int) series {
		s := series{name: name}
		for _, second := range r.Seconds {
			s.values = append(s.values, float64(value(second)))
		}
		return s
	}
	return []chart{
		{"What came of the requests, by the second in which they came", "requests a second", []series{
			bySecond("offered", func(s result.Second) int { return s.Offered }),
			bySecond("served", func(s result.Second) int { return s.Served }),
			bySecond("refused", func(s result.Second) int { return s.Rejected }),
			bySecond("failed", func(s result.Second) int { return s.Failed }),
		}},
		{"In flight, and attempts", "requests; attempts a second", []series{
			bySecond("in flight", func(s result.Second) int { return s.InFlight }),
			bySecond("attempts", func(s result.Second) int { return s.Attempts }),
			bySecond("to another zone", func(s result.Second) int { return s.CrossZone }),
		}},
		{"Thresholds of the servers, as the first node has learned them", "attempts in flight", thresholds(r)},
	}
}

// thresholds returns a series with the learned threshold of each server, sorted by server ID. It returns at most
// maxServers series.
func thresholds(r *result.Result) (lines []series) {
	byServer := make(map[string][]float64)
	for second, samples := range r.Samples {
		for _, sample := range samples {
			values := byServer[sample.Server]
			for len(values) < second {
				values = append(values, math.NaN())
			}
			byServer[sample.Server] = append(values, sample.Threshold)
		}
	}
	ids := slices.Sorted(maps.Keys(byServer))
	for _, id := range ids[:min(len(ids), maxServers)] {
		lines = append(lines, series{"", byServer[id]})
	}
	return lines
}

// render draws a chart as an SVG element.
func render(r *result.Result, c chart) ([]byte, error) {
	chartPlot := plot.New()
	chartPlot.X.Label.Text, chartPlot.Y.Label.Text = "seconds", c.unit
	chartPlot.Y.Min, chartPlot.Legend.Top = 0, true
	chartPlot.Y.Max = highest(c.lines) * headroom
	for _, fault := range r.Faults { // added first, because the lines are drawn above the shading
		if err := addFault(chartPlot, &fault); err != nil {
			return nil, err
		}
	}
	chartPlot.Add(plotter.NewGrid())
	for i, line := range c.lines {
		if err := addSeries(chartPlot, i, line); err != nil {
			return nil, err
		}
	}
	chartPlot.Y.Min, chartPlot.X.Min, chartPlot.X.Max = 0, 0, max(1, float64(len(r.Seconds)))
	canvas := vgsvg.New(width, height)
	chartPlot.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, err
	}
	_, svg, ok := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !ok {
		return nil, errors.New("output is not SVG")
	}
	return append([]byte("<svg"), svg...), nil
}

// highest returns the largest known value of all series, and at least 1.
func highest(lines []series) float64 {
	value := 1.0
	for _, line := range lines {
		for _, y := range line.values {
			if !math.IsNaN(y) {
				value = max(value, y)
			}
		}
	}
	return value
}

// addFault shades the time in which a fault is active.
func addFault(p *plot.Plot, fault *result.Fault) error {
	from, to := fault.From.Seconds(), fault.To.Seconds()
	shade, err := plotter.NewPolygon(plotter.XYs{
		{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max},
	})
	if err != nil {
		return err
	}
	shade.Color, shade.Width = color.NRGBA{R: 200, G: 90, B: 60, A: 30}, 0
	p.Add(shade)
	return nil
}

// addSeries draws a series in the color with the given index. Unknown values leave gaps in the line.
func addSeries(p *plot.Plot, index int, s series) error {
	for i, points := range segments(s.values) {
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(index), vg.Points(1.2)
		if s.name == "" {
			line.Width = vg.Points(0.6)
		}
		p.Add(line)
		if i == 0 && s.name != "" {
			p.Legend.Add(s.name, line)
		}
	}
	return nil
}

// segments splits values into runs of consecutive known values, and returns the points of each run.
func segments(values []float64) (all []plotter.XYs) {
	var run plotter.XYs
	for x, y := range values {
		if !math.IsNaN(y) {
			run = append(run, plotter.XY{X: float64(x), Y: y})
			continue
		}
		if len(run) > 0 {
			all, run = append(all, run), nil
		}
	}
	if len(run) > 0 {
		all = append(all, run)
	}
	return all
}

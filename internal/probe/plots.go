package probe

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotted is a plot as SVG.
type plotted struct {
	title string
	svg   []byte
}

// line is one named line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// plotLines adds a plot of lines to the report.
func (r *Run) plotLines(title, x, y string, lines ...line) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	var args []any
	for _, l := range lines {
		args = append(args, l.name, l.points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return
	}
	r.plots = append(r.plots, plotted{title: title, svg: svg.Bytes()})
}

func (r *Run) plotFit(name, unit string, points []controlPoint, value func(controlPoint) float64, fitted *mat.VecDense) {
	var measured, fit plotter.XYs
	for i, point := range points {
		measured = append(measured, plotter.XY{X: float64(i), Y: value(point)})
		fit = append(fit, plotter.XY{X: float64(i), Y: fitted.AtVec(i)})
	}
	r.plotLines(r.current+": "+name, "size, in the order of the run", unit,
		line{"measured", measured}, line{"fitted", fit})
}

// page is the report. It holds everything that it shows.
var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lentilstand measures</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:right}td:first-child{text-align:left}</style>
</head><body><h1>lentilstand measures</h1>
<table><tr><th>measure</th><th>value</th><th>baseline</th><th>unit</th><th>target</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Value}}</td><td>{{.Baseline}}</td><td>{{.Unit}}</td><td>{{.Target}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

type pageRow struct {
	Name, Value, Baseline, Unit, Target string
}

type pagePlot struct {
	Title string
	SVG   template.HTML
}

// WriteReport writes the results and plots of the run as one HTML page.
func (r *Run) WriteReport(out io.Writer) error {
	var rows []pageRow
	for _, result := range r.results {
		row := pageRow{
			Name:   result.measure,
			Value:  fmt.Sprintf("%.4g", result.value),
			Unit:   result.unit,
			Target: result.target,
		}
		if result.baseline != nil {
			row.Baseline = fmt.Sprintf("%.4g", *result.baseline)
		}
		rows = append(rows, row)
	}
	var plots []pagePlot
	for _, p := range r.plots {
		_, drawing, found := bytes.Cut(p.svg, []byte("<svg"))
		if !found {
			continue
		}
		// The plotting library made the drawing from this run's own names.
		plots = append(plots, pagePlot{Title: p.title, SVG: template.HTML("<svg" + string(drawing))})
	}
	err := page.Execute(out, struct {
		Rows  []pageRow
		Plots []pagePlot
	}{rows, plots})
	return eris.Wrap(err, "can't write the report")
}

// Package plots draws the plots of reports and renders them on self-contained HTML
// pages, which load no scripts, styles or images.
package plots

import (
	"bytes"
	"html/template"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Line is a named series of points, drawn as one line of a plot.
type Line struct {
	name   string
	points plotter.XYs
}

// NewLine returns a line through points.
func NewLine(name string, points plotter.XYs) Line { return Line{name: name, points: points} }

// Plot is a plot rendered as SVG.
type Plot struct {
	title string
	svg   []byte
}

// LinePlot draws lines with the given title and axis labels.
func LinePlot(title, x, y string, lines ...Line) (Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	var args []any
	for _, line := range lines {
		args = append(args, line.name, line.points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return Plot{}, eris.Wrap(err, "can't draw a plot")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return Plot{}, eris.Wrap(err, "can't draw a plot")
	}
	return Plot{title: title, svg: svg.Bytes()}, nil
}

// Page is a report with one table followed by plots.
type Page struct {
	title  string
	header []string
	rows   [][]string
	plots  []Plot
}

// NewPage returns a page whose table has the given header cells.
func NewPage(title string, header ...string) *Page { return &Page{title: title, header: header} }

// AddRow adds a row to the table.
func (p *Page) AddRow(cells ...string) { p.rows = append(p.rows, cells) }

// AddPlot adds a plot after the table.
func (p *Page) AddPlot(plot Plot) { p.plots = append(p.plots, plot) }

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:right}td:first-child{text-align:left}</style>
</head><body><h1>{{.Title}}</h1>
<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

// drawing is a plot in the form that pageTemplate expects.
type drawing struct {
	Title string
	SVG   template.HTML
}

// Write writes the page as HTML.
func (p *Page) Write(out io.Writer) error {
	var drawings []drawing
	for _, plot := range p.plots {
		if _, svg, found := bytes.Cut(plot.svg, []byte("<svg")); found {
			// The SVG is trusted: the plotting library escapes all text in it.
			drawings = append(drawings, drawing{Title: plot.title, SVG: template.HTML("<svg" + string(svg))})
		}
	}
	err := pageTemplate.Execute(out, struct {
		Title  string
		Header []string
		Rows   [][]string
		Plots  []drawing
	}{p.title, p.header, p.rows, drawings})
	return eris.Wrap(err, "can't write a page")
}

package probe

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/plots"
)

// plotLines adds a plot to the report. It omits a plot that can't be drawn, since a
// brief run may have too few points.
func (r *Run) plotLines(title, x, y string, lines ...plots.Line) {
	if plot, err := plots.LinePlot(title, x, y, lines...); err == nil {
		r.plots = append(r.plots, plot)
	}
}

// plotFit plots the measured values and those of the fitted cost model.
func (r *Run) plotFit(name, unit string, points []controlPoint, value func(controlPoint) float64, fitted *mat.VecDense) {
	var measured, fit plotter.XYs
	for i, point := range points {
		measured = append(measured, plotter.XY{X: float64(i), Y: value(point)})
		fit = append(fit, plotter.XY{X: float64(i), Y: fitted.AtVec(i)})
	}
	r.plotLines(r.currentMeasure+": "+name, "size, in the order of the run", unit,
		plots.NewLine("measured", measured), plots.NewLine("fitted", fit))
}

// WriteReport writes the results and plots of the run as one HTML page.
func (r *Run) WriteReport(out io.Writer) error {
	page := plots.NewPage("lentilstand measures", "measure", "value", "baseline", "unit", "target")
	for _, result := range r.results {
		baseline := ""
		if result.baseline != nil {
			baseline = fmt.Sprintf("%.4g", *result.baseline)
		}
		page.AddRow(result.measure, fmt.Sprintf("%.4g", result.value), baseline, result.unit, result.target)
	}
	for _, plot := range r.plots {
		page.AddPlot(plot)
	}
	return page.Write(out)
}

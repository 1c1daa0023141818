package report

import (
	"maps"
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// tradeoffs draws the plots that the file asks for, one for each profile, load
// and fault.
func tradeoffs(result experiment.Result) []figure {
	groups := experiment.Groups(result.Rows())
	var drawn []figure
	for _, plot := range result.File.Plots {
		for _, place := range places(result) {
			where := place
			next := figure{
				title: plot.Title + ", " + where.Profile, x: plot.X, y: plot.Y, points: true,
			}
			for _, line := range slices.Sorted(maps.Keys(plot.Lines)) {
				var points plotter.XYs
				for _, point := range experiment.Curve(groups, plot, line, where) {
					points = append(points, plotter.XY{X: point.X, Y: point.Y})
				}
				if len(points) > 0 {
					next.curves = append(next.curves, curve{line, points})
				}
			}
			if len(next.curves) > 0 {
				drawn = append(drawn, next)
			}
		}
	}
	return drawn
}

// places are the cells of the runs without their policies.
func places(result experiment.Result) []experiment.Cell {
	var found []experiment.Cell
	for _, run := range result.Runs {
		place := run.Parameters.Cell
		place.Policy = ""
		if !slices.Contains(found, place) {
			found = append(found, place)
		}
	}
	return found
}

package report

import (
	"maps"
	"slices"

	"gonum.org/v1/plot/plotter"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// tradeoffFigures returns the plots that the experiment's file defines, one for
// each profile, load and fault.
func tradeoffFigures(result experiment.Result) []figure {
	groups := experiment.Groups(result.Rows())
	var drawn []figure
	for _, plot := range result.File.Plots {
		for _, place := range cellsWithoutPolicy(result) {
			where := place
			next := figure{
				title: plot.Title + ", " + where.Profile, x: plot.X, y: plot.Y, markPoints: true,
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

// cellsWithoutPolicy returns the distinct cells of the runs with an empty policy.
func cellsWithoutPolicy(result experiment.Result) []experiment.Cell {
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

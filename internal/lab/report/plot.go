package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// Dimensions of a plot on the page.
const (
	plotWidth  = 15 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// legendMargin is the distance of the legend from the frame.
	legendMargin = 3 * vg.Millimeter
	// maxCurvePoints limits the points of one curve to keep pages small.
	maxCurvePoints = 400
)

// palette has colours that most colour-blind readers can tell apart.
var palette = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{86, 180, 233, 255}, {230, 159, 0, 255}, {0, 0, 0, 255}, {120, 94, 240, 255},
}

// curve is one named line.
type curve struct {
	name   string
	points plotter.XYs
}

// figure is one plot with its lines.
type figure struct {
	title, x, y string
	curves      []curve
	// isCDF is set for cumulative distributions, which are drawn as steps from 0
	// to 1.
	isCDF bool
	// markPoints draws a mark at each point of the lines.
	markPoints bool
}

// svg renders the figure as SVG for embedding in HTML.
func (f figure) svg() (template.HTML, error) {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = f.title, f.x, f.y
	drawn.Legend.Top = !f.isCDF
	drawn.Legend.XOffs = -legendMargin
	if f.isCDF {
		drawn.Y.Min, drawn.Y.Max = 0, 1
		drawn.Legend.YOffs = legendMargin
	}
	drawn.Add(plotter.NewGrid())
	for index, curve := range f.curves {
		line, err := plotter.NewLine(curve.points)
		if err != nil {
			return "", fmt.Errorf("plot %s: %s: %w", f.title, curve.name, err)
		}
		line.Color = palette[index%len(palette)]
		line.Width = vg.Points(1.5)
		if f.isCDF {
			line.StepStyle = plotter.PostStep
		}
		drawn.Add(line)
		if f.markPoints {
			marks, err := plotter.NewScatter(curve.points)
			if err != nil {
				return "", fmt.Errorf("plot %s: %s: %w", f.title, curve.name, err)
			}
			marks.Color = line.Color
			drawn.Add(marks)
		}
		drawn.Legend.Add(curve.name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawn.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", fmt.Errorf("plot %s: %w", f.title, err)
	}
	return stripProlog(text.String()), nil
}

// stripProlog removes the XML prolog, which may not occur inside HTML.
func stripProlog(svg string) template.HTML {
	if start := strings.Index(svg, "<svg"); start > 0 {
		svg = svg[start:]
	}
	// The SVG comes from gonum, and vgsvg escapes the names in it.
	return template.HTML(svg)
}

// cumulativeShares returns the empirical cumulative distribution of the samples,
// with about maxCurvePoints points at most.
func cumulativeShares(samples []float64) plotter.XYs {
	sorted := slices.Sorted(slices.Values(samples))
	points := make(plotter.XYs, 0, min(len(sorted), maxCurvePoints)+2)
	if len(sorted) > 0 {
		points = append(points, plotter.XY{X: sorted[0], Y: 0})
	}
	step := max(1, len(sorted)/maxCurvePoints)
	for index := 0; index < len(sorted); index += step {
		points = append(points, plotter.XY{X: sorted[index], Y: float64(index+1) / float64(len(sorted))})
	}
	if len(sorted) > 0 {
		points = append(points, plotter.XY{X: sorted[len(sorted)-1], Y: 1})
	}
	return points
}

// downsample reduces a series to about maxCurvePoints points.
func downsample(series []experiment.Point) plotter.XYs {
	step := max(1, len(series)/maxCurvePoints)
	points := make(plotter.XYs, 0, min(len(series), maxCurvePoints)+1)
	for index := 0; index < len(series); index += step {
		points = append(points, plotter.XY{X: series[index].Seconds, Y: series[index].Value})
	}
	return points
}

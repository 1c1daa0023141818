package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through the figures of one variable.
type Fit struct {
	Variable string    `json:"variable"`
	Unit     string    `json:"unit"`
	Role     Role      `json:"role"`
	Figure   string    `json:"figure"`
	At       []float64 `json:"at"`
	Measured []float64 `json:"measured"`
	// Intercept and Slope are those of least squares.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root of the mean square distance from the line, in the
	// figure's own unit.
	Residual float64 `json:"residual"`
	// RSquared is the share of the variance that the line explains.
	RSquared float64 `json:"rSquared"`
	// Target is the variable's value to build towards and AtTarget the line's
	// value there, all other variables as in the base.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"atTarget"`
}

// minimumPoints is how many points a line needs.
const minimumPoints = 4

// fitLine fits by least squares; it reports false for too few points.
func fitLine(fit Fit) (Fit, bool) {
	if len(fit.At) < minimumPoints {
		return fit, false
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(fit.At, fit.Measured, nil, false)
	var squares float64
	for index, x := range fit.At {
		distance := fit.Measured[index] - (fit.Intercept + fit.Slope*x)
		squares += distance * distance
	}
	fit.Residual = math.Sqrt(squares / float64(len(fit.At)))
	fit.RSquared = 1
	if stat.Variance(fit.Measured, nil) > 0 {
		fit.RSquared = stat.RSquared(fit.At, fit.Measured, nil, fit.Intercept, fit.Slope)
	}
	fit.AtTarget = fit.Intercept + fit.Slope*fit.Target
	return fit, true
}

// fittedFigures are those of a role that get a line each; what is alike at all
// nodes is given once.
func fittedFigures(role Role) []string {
	figures := []string{FigureControl, FigureBytesSent, FigureBytesReceived, FigureMessages}
	if role == RoleRouter {
		figures = append(figures, FigureCallers, FigureHeap, FigureInForce,
			prefixState+"tables (KB)", prefixState+"members (KB)", prefixState+"machines (KB)")
	}
	return figures
}

// fitsOf fits each figure of each role over one variable's points. A point at
// which nobody has the role only is left out.
func fitsOf(variable Variable, values []float64, points []Measurement) []Fit {
	var fits []Fit
	for _, role := range Roles() {
		for _, figure := range fittedFigures(role) {
			fit := Fit{Variable: variable.Name, Unit: variable.Unit, Role: role, Figure: figure, Target: variable.Target}
			for index, point := range points {
				figures, found := point.Roles[role]
				if value, measured := figures[figure]; found && (measured || figure != FigureInForce) {
					fit.At = append(fit.At, values[index])
					fit.Measured = append(fit.Measured, value)
				}
			}
			if fitted, enough := fitLine(fit); enough {
				fits = append(fits, fitted)
			}
		}
	}
	return fits
}

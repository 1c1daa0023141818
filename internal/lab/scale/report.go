package scale

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// WriteJSON writes all that was found.
func WriteJSON(to io.Writer, result Result) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// WriteText writes the lines and what each point cost the process; the JSON has
// all figures of all roles by part, channel and call.
func WriteText(to io.Writer, result Result) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "base %+v, %.0f s\n\n", result.Base, result.Took)
	fmt.Fprintln(table, "variable\trole\tfigure\tat\tmeasured\tintercept\tslope\tresidual\tR2\ttarget\tline there")
	for _, fit := range result.Fits {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%.3f\t%.6g\t%.4g\n", fit.Variable, fit.Role, fit.Figure,
			series(fit.At), series(fit.Measured), fit.Intercept, fit.Slope, fit.Residual, fit.RSquared, fit.Target, fit.AtTarget)
	}
	fmt.Fprintln(table, "\nvariable\tvalue\tnodes\tcores\tunlabelled\tsettled in s\tload")
	for _, point := range result.Points {
		measured := point.Measurement
		fmt.Fprintf(table, "%s\t%g\t%d\t%.3g\t%.2f\t%.1f\t%+v\n", point.Variable, point.Value, measured.Nodes,
			measured.ProcessCores, measured.Unlabelled, measured.SettledSeconds, measured.Load)
	}
	writePoints(table, result.Points)
	for _, failure := range result.Errors {
		fmt.Fprintf(table, "NOT MEASURED %s\n", failure)
	}
	return table.Flush()
}

// writePoints writes the roles' figures of points that are on no line.
func writePoints(to io.Writer, points []Point) {
	for _, point := range points {
		if point.Variable != PointVariable {
			continue
		}
		fmt.Fprintln(to, "\nrole\tfigure\tmeasured")
		for _, role := range Roles() {
			figures := point.Measurement.Roles[role]
			for _, figure := range fittedFigures(role) {
				if value, found := figures[figure]; found {
					fmt.Fprintf(to, "%s\t%s\t%.4g\n", role, figure, value)
				}
			}
		}
	}
}

func series(values []float64) string {
	text := ""
	for index, value := range values {
		if index > 0 {
			text += " "
		}
		text += strconv.FormatFloat(value, 'g', 4, 64)
	}
	return text
}

// WriteCSV writes one row for each fitted line.
func WriteCSV(to io.Writer, result Result) error {
	writer := csv.NewWriter(to)
	rows := [][]string{{"variable", "unit", "role", "figure", "at", "measured", "intercept", "slope", "residual", "r2", "target", "at_target"}}
	for _, fit := range result.Fits {
		rows = append(rows, []string{fit.Variable, fit.Unit, string(fit.Role), fit.Figure, series(fit.At), series(fit.Measured),
			number(fit.Intercept), number(fit.Slope), number(fit.Residual), number(fit.RSquared), number(fit.Target), number(fit.AtTarget)})
	}
	return writer.WriteAll(rows)
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Summary returns, for each cell, the means of the metrics in the file's table.
func (r Result) Summary() []SummaryRow {
	var rows []SummaryRow
	for _, group := range Groups(r.Rows()) {
		column := slices.Index(r.File.Table, group.Metric)
		if column < 0 {
			continue
		}
		index := slices.IndexFunc(rows, func(row SummaryRow) bool { return row.Cell == group.Cell })
		if index < 0 {
			index = len(rows)
			rows = append(rows, SummaryRow{Cell: group.Cell, Values: make([]string, len(r.File.Table))})
		}
		rows[index].Values[column] = fmt.Sprintf("%.4g", group.Mean.Mean)
	}
	return rows
}

// SummaryRow has the formatted mean of each metric of the table; empty if there
// is none.
type SummaryRow struct {
	Cell
	Values []string
}

// WriteSummary writes the summary as a text table.
func (r Result) WriteSummary(output io.Writer) error {
	rows := r.Summary()
	if len(rows) == 0 {
		return nil
	}
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "profile\tpolicy\t%s\t\n", strings.Join(r.File.Table, "\t"))
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t\n", row.Profile, row.Policy, strings.Join(row.Values, "\t"))
	}
	return table.Flush()
}

// Curve returns the points of a plot's line, the means over the seeds, for the
// profile, load and fault of the cell.
func Curve(groups []Group, plot Plot, line string, cell Cell) []XY {
	var points []XY
	for _, policy := range plot.Lines[line] {
		cell.Policy = policy
		x, foundX := findMean(groups, cell, plot.X)
		y, foundY := findMean(groups, cell, plot.Y)
		if foundX && foundY {
			points = append(points, XY{x, y})
		}
	}
	return points
}

// XY is one point of a plot.
type XY struct{ X, Y float64 }

func findMean(groups []Group, cell Cell, metric string) (float64, bool) {
	index := slices.IndexFunc(groups, func(group Group) bool { return group.Cell == cell && group.Metric == metric })
	if index < 0 {
		return 0, false
	}
	return groups[index].Mean.Mean, true
}

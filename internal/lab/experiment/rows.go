package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
)

// Row is one value of one run, as in the CSV.
type Row struct {
	Cell
	Seed   uint64
	Metric string
	Unit   string
	Value  float64
}

// quantiles of a distribution that are listed as rows.
var quantiles = []struct {
	name  string
	share float64
}{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}

// Rows returns all values of all runs, and the quantiles and mean of each
// distribution.
func (r Result) Rows() []Row {
	var rows []Row
	for _, run := range r.Runs {
		add := func(metric, unit string, value float64) {
			rows = append(rows, Row{
				Cell: run.Parameters.Cell, Seed: run.Parameters.Seed, Metric: metric, Unit: unit, Value: value,
			})
		}
		for _, value := range run.Measurements.Values {
			add(value.Metric, value.Unit, value.Value)
		}
		for _, distribution := range run.Measurements.Distributions {
			if len(distribution.Samples) == 0 {
				continue
			}
			sorted := slices.Sorted(slices.Values(distribution.Samples))
			for _, quantile := range quantiles {
				add(distribution.Metric+" "+quantile.name, distribution.Unit, Quantile(sorted, quantile.share))
			}
			add(distribution.Metric+" mean", distribution.Unit, mean(sorted))
		}
	}
	return rows
}

// Quantile returns the smallest sample such that at least the share of the sorted
// samples is not greater than it, or NaN without samples.
func Quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	index := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

var csvHeader = []string{"policy", "profile", "load", "fault", "seed", "metric", "unit", "value"}

// WriteCSV writes the rows as CSV with a header.
func WriteCSV(output io.Writer, rows []Row) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(csvHeader); err != nil {
		return err
	}
	for _, row := range rows {
		err := writer.Write([]string{
			row.Policy, row.Profile, formatFloat(row.Load), row.Fault,
			strconv.FormatUint(row.Seed, 10), row.Metric, row.Unit, formatFloat(row.Value),
		})
		if err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// ReadCSV reads rows that WriteCSV has written.
func ReadCSV(input io.Reader) ([]Row, error) {
	reader := csv.NewReader(input)
	reader.FieldsPerRecord = len(csvHeader)
	records, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read the CSV: %w", err)
	}
	if len(records) == 0 || !slices.Equal(records[0], csvHeader) {
		return nil, fmt.Errorf("read the CSV: the header is not %v", csvHeader)
	}
	rows := make([]Row, 0, len(records)-1)
	for index, record := range records[1:] {
		row, err := parseRow(record)
		if err != nil {
			return nil, fmt.Errorf("read the CSV: row %d: %w", index+2, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func parseRow(record []string) (Row, error) {
	load, err := strconv.ParseFloat(record[2], 64)
	if err != nil {
		return Row{}, err
	}
	seed, err := strconv.ParseUint(record[4], 10, 64)
	if err != nil {
		return Row{}, err
	}
	value, err := strconv.ParseFloat(record[7], 64)
	if err != nil {
		return Row{}, err
	}
	return Row{
		Cell: Cell{Policy: record[0], Profile: record[1], Load: load, Fault: record[3]},
		Seed: seed, Metric: record[5], Unit: record[6], Value: value,
	}, nil
}

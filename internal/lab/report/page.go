package report

import (
	"errors"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// Page is the HTML report of an experiment.
type Page struct {
	Result      experiment.Result
	Environment Environment
	// Took is the duration of all runs together.
	Took time.Duration
	// Differences are the differences to an older experiment, if one was compared;
	// Older is its name.
	Differences []experiment.Difference
	Older       string
	// Failures describes the runs that failed.
	Failures string
}

// pageView is the data of the template.
type pageView struct {
	Page
	Tables  []table
	Figures []template.HTML
}

// table shows one metric, with a row for each profile, load and fault, and a
// column for each policy.
type table struct {
	Metric   string
	Unit     string
	Policies []string
	Rows     []tableRow
}

type tableRow struct {
	Profile string
	Load    float64
	Fault   string
	Cells   []experiment.Interval
}

// WriteHTML writes a self-contained HTML page. Plots that can't be drawn are left
// out and returned as errors.
func (p Page) WriteHTML(output io.Writer) error {
	view := pageView{Page: p, Tables: buildTables(p.Result)}
	var failures []error
	for _, drawn := range append(tradeoffFigures(p.Result), distributionAndSeriesFigures(p.Result)...) {
		svg, err := drawn.svg()
		if err != nil {
			failures = append(failures, err)
			continue
		}
		view.Figures = append(view.Figures, svg)
	}
	return errors.Join(append(failures, pageTemplate.Execute(output, view))...)
}

// buildTables groups the values by metric, in the order of the rows.
func buildTables(result experiment.Result) []table {
	var all []table
	index := make(map[string]int)
	for _, group := range experiment.Groups(result.Rows()) {
		position, known := index[group.Metric]
		if !known {
			position = len(all)
			index[group.Metric] = position
			all = append(all, table{Metric: group.Metric, Unit: group.Unit, Policies: policyNames(result)})
		}
		all[position].add(group)
	}
	return all
}

func (t *table) add(group experiment.Group) {
	row := slices.IndexFunc(t.Rows, func(row tableRow) bool {
		return row.Profile == group.Profile && row.Load == group.Load && row.Fault == group.Fault
	})
	if row < 0 {
		row = len(t.Rows)
		t.Rows = append(t.Rows, tableRow{
			Profile: group.Profile, Load: group.Load, Fault: group.Fault,
			Cells: make([]experiment.Interval, len(t.Policies)),
		})
	}
	t.Rows[row].Cells[slices.Index(t.Policies, group.Policy)] = group.Mean
}

func policyNames(result experiment.Result) []string {
	var names []string
	for _, run := range result.Runs {
		if !slices.Contains(names, run.Parameters.Policy) {
			names = append(names, run.Parameters.Policy)
		}
	}
	return names
}

// plotKey identifies a figure that compares the policies.
type plotKey struct {
	metric, unit, profile, fault string
	load                         float64
}

func (p plotKey) title() string {
	parts := []string{p.metric, p.profile, fmt.Sprintf("load %g", p.load), p.fault}
	return strings.Join(slices.DeleteFunc(parts, func(part string) bool { return part == "" }), ", ")
}

// distributionAndSeriesFigures returns a figure of each distribution over all
// seeds, and of each series of the first seed, with one curve for each policy.
func distributionAndSeriesFigures(result experiment.Result) []figure {
	samples := make(map[plotKey]map[string][]float64)
	var order []plotKey
	var timeLines []figure
	lineIndex := make(map[plotKey]int)
	for _, run := range result.Runs {
		at := run.Parameters
		for _, distribution := range run.Measurements.Distributions {
			key := plotKey{distribution.Metric, distribution.Unit, at.Profile, at.Fault, at.Load}
			if samples[key] == nil {
				samples[key] = make(map[string][]float64)
				order = append(order, key)
			}
			samples[key][at.Policy] = append(samples[key][at.Policy], distribution.Samples...)
		}
		if len(result.File.Seeds) == 0 || at.Seed != result.File.Seeds[0] {
			continue
		}
		for _, series := range run.Measurements.Series {
			key := plotKey{series.Metric, series.Unit, at.Profile, at.Fault, at.Load}
			position, known := lineIndex[key]
			if !known {
				position = len(timeLines)
				lineIndex[key] = position
				timeLines = append(timeLines, figure{title: key.title(), x: "s", y: series.Unit})
			}
			timeLines[position].curves = append(timeLines[position].curves, curve{at.Policy, downsample(series.Points)})
		}
	}
	return append(distributionFigures(order, samples, policyNames(result)), timeLines...)
}

func distributionFigures(order []plotKey, samples map[plotKey]map[string][]float64, policies []string) []figure {
	drawn := make([]figure, 0, len(order))
	for _, key := range order {
		next := figure{title: key.title(), x: key.unit, y: "share of samples", isCDF: true}
		for _, policy := range policies {
			if values := samples[key][policy]; len(values) > 0 {
				next.curves = append(next.curves, curve{policy, cumulativeShares(values)})
			}
		}
		if len(next.curves) > 0 {
			drawn = append(drawn, next)
		}
	}
	return drawn
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Result.File.Name}}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 72em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: .5em 0 2em }
th, td { border: 1px solid #ccc; padding: .25em .6em; text-align: right }
th { background: #f3f3f3 } td.name { text-align: left }
.changed { font-weight: bold } .failed { color: #a00; white-space: pre-wrap }
svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.Result.File.Name}}</h1>
<p>Runner {{.Result.File.Runner}}, {{len .Result.Runs}} runs in {{.Took}}, seeds {{.Result.File.Seeds}}{{with .Result.File.Options}}, options {{.}}{{end}}.</p>
{{with .Failures}}<h2>Failed runs</h2><p class="failed">{{.}}</p>{{end}}
{{if .Differences}}<h2>Changes against {{.Older}}</h2>
<table><tr><th>metric</th><th>policy</th><th>profile</th><th>load</th><th>fault</th><th>old</th><th>new</th><th>change (95 %)</th><th>by seed</th></tr>
{{range .Differences}}<tr{{if .Change.ExcludesZero}} class="changed"{{end}}><td class="name">{{.Metric}} [{{.Unit}}]</td><td>{{.Policy}}</td><td>{{.Profile}}</td><td>{{.Load}}</td><td>{{.Fault}}</td>
<td>{{printf "%.4g" .Old}}</td><td>{{printf "%.4g" .New}}</td><td>{{printf "%+.4g (%.4g to %.4g)" .Change.Mean .Change.Low .Change.High}}</td><td>{{.Paired}}</td></tr>
{{end}}</table>{{end}}
{{range .Tables}}<h2>{{.Metric}} [{{.Unit}}]</h2>
<table><tr><th>profile</th><th>load</th><th>fault</th>{{range .Policies}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Profile}}</td><td>{{.Load}}</td><td>{{.Fault}}</td>{{range .Cells}}<td>{{if .Count}}{{printf "%.4g" .Mean}}{{if gt .Count 1}} ({{printf "%.4g to %.4g" .Low .High}}){{end}}{{else}}-{{end}}</td>{{end}}</tr>
{{end}}</table>
{{end}}<p>Means over the seeds, with 95 % bootstrap intervals.</p>
{{with .Result.Summary}}<h2>Summary</h2>
<table><tr><th>profile</th><th>policy</th>{{range $.Result.File.Table}}<th>{{.}}</th>{{end}}</tr>
{{range .}}<tr><td>{{.Profile}}</td><td class="name">{{.Policy}}</td>{{range .Values}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>{{end}}
<h2>Curves</h2>
{{range .Figures}}<p>{{.}}</p>
{{end}}<h2>Environment</h2>
<table>{{range .Environment.Lines}}<tr><td class="name">{{.Name}}</td><td class="name">{{.Value}}</td></tr>
{{end}}</table>
</body></html>
`))

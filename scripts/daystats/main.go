// Command daystats prints the mean and standard deviation of the figures in the
// bench's reports on several days and seeds, or compares two sets of reports:
//
//	daystats DIR          one line per figure: days, kinds of request, prices
//	daystats BEFORE AFTER the same, as differences of the means
//
// A report is a file DIR/DAY@SEED.json, as written by scripts/play.sh.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// report holds the fields used from the report on one run of a day.
type report struct {
	Worth  float64                    `json:"G"`
	Served float64                    `json:"served"`
	Parts  []part                     `json:"parts"`
	Prices []price                    `json:"prices"`
	Breaks map[string]json.RawMessage `json:"breaks"`
	Short  []json.RawMessage          `json:"short"`
	Kinds  []kind                     `json:"classes"`
}

// part is the JSON array [name, weight, value], price is [name, count, cost].
type (
	part  []any
	price []any
)

// kind holds the bench's results for one kind of request.
type kind struct {
	Name   string  `json:"name"`
	Asked  float64 `json:"n"`
	InAim  float64 `json:"in_aim"`
	Late   float64 `json:"late"`
	Worth  float64 `json:"worth"`
	Failed float64 `json:"failed"`
}

// samples are the values of one figure, one per run.
type samples []float64

func (s samples) mean() float64 {
	total := 0.0
	for _, value := range s {
		total += value
	}
	return total / float64(max(1, len(s)))
}

// deviation returns the sample standard deviation, 0 for fewer than two samples.
func (s samples) deviation() float64 {
	if len(s) < 2 {
		return 0
	}
	mean, total := s.mean(), 0.0
	for _, value := range s {
		total += (value - mean) * (value - mean)
	}
	return math.Sqrt(total / float64(len(s)-1))
}

// figures maps the name of a figure to its samples. A name starts with a digit
// that groups the figures when they are sorted by name.
type figures map[string]samples

func (f figures) add(name string, value float64) { f[name] = append(f[name], value) }

func (f figures) names() []string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// quietDayMarker is the part of a day's name that marks a day without trouble.
const quietDayMarker = "quiet"

// collect reads all reports in a folder.
func collect(folder string) (figures, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*@*.json"))
	if err != nil {
		return nil, err
	}
	collected := make(figures)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var read report
		if err := json.Unmarshal(content, &read); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		day, _, _ := strings.Cut(filepath.Base(file), "@")
		collected.addReport(day, read)
	}
	return collected, nil
}

func (f figures) addReport(day string, read report) {
	f.add("1 day "+day, read.Worth)
	f.add("2 rules broken", float64(len(read.Breaks)))
	f.add("2 floors missed", float64(len(read.Short)))
	if strings.Contains(day, quietDayMarker) {
		return
	}
	f.add("0 worth, days with trouble", read.Worth)
	f.add("0 served, days with trouble", read.Served)
	for _, part := range read.Parts {
		f.addEntry("3 part ", part)
	}
	for _, kind := range read.Kinds {
		f.add("4 kind "+kind.Name+" worth", kind.Worth)
		f.add("4 kind "+kind.Name+" late", kind.Late/max(1, kind.Asked))
		f.add("4 kind "+kind.Name+" unserved", 1-(kind.Late+kind.InAim)/max(1, kind.Asked))
	}
	for _, price := range read.Prices {
		f.addEntry("5 price ", price)
	}
}

// addEntry adds the figure of an entry, whose first element is the name and whose
// last element is the value.
func (f figures) addEntry(prefix string, entry []any) {
	name, _ := entry[0].(string)
	value, _ := entry[len(entry)-1].(float64)
	f.add(prefix+name, value)
}

// minShownPrice is the smallest absolute mean for which a price is printed.
const minShownPrice = 0.0005

func printFigures(f figures) {
	for _, name := range f.names() {
		if mean := f[name].mean(); !strings.HasPrefix(name, "5") || math.Abs(mean) >= minShownPrice {
			fmt.Printf("%-56s %8.4f  +-%.4f  of %d\n", name, mean, f[name].deviation(), len(f[name]))
		}
	}
}

func printComparison(before, after figures) {
	for _, name := range after.names() {
		old, current := before[name], after[name]
		if strings.HasPrefix(name, "5") && max(math.Abs(old.mean()), math.Abs(current.mean())) < minShownPrice {
			continue
		}
		fmt.Printf("%-56s %8.4f -> %8.4f  %+.4f  +-%.4f\n", name, old.mean(), current.mean(), current.mean()-old.mean(), standardError(old, current))
	}
}

// standardError returns the standard error of the difference of two means.
func standardError(a, b samples) float64 {
	variance := 0.0
	for _, s := range []samples{a, b} {
		variance += s.deviation() * s.deviation() / float64(max(1, len(s)))
	}
	return math.Sqrt(variance)
}

func run(folders []string) error {
	if len(folders) < 1 || len(folders) > 2 {
		return fmt.Errorf("usage: daystats DIR | daystats BEFORE AFTER")
	}
	first, err := collect(folders[0])
	if err != nil {
		return err
	}
	if len(folders) == 1 {
		printFigures(first)
		return nil
	}
	second, err := collect(folders[1])
	if err != nil {
		return err
	}
	printComparison(first, second)
	return nil
}

func main() {
	flag.Parse()
	if err := run(flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "daystats:", err)
		os.Exit(1)
	}
}

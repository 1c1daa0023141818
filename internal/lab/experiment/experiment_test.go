package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "experiment.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const sample = `
name: sample
runner: sum
duration: 90s
matrix:
  policy: [one, two]
  load: [1, 2.5]
seeds: [7, 8]
options: {depth: "3"}
`

func TestFileIsRead(t *testing.T) {
	file, err := ReadFile(writeFile(t, sample))
	if err != nil {
		t.Fatal(err)
	}
	expected := File{
		Name: "sample", Runner: "sum", Duration: 90 * time.Second,
		Matrix: Matrix{Policy: []string{"one", "two"}, Load: []float64{1, 2.5}},
		Seeds:  []uint64{7, 8}, Options: map[string]string{"depth": "3"},
	}
	if difference := cmp.Diff(expected, file); difference != "" {
		t.Error(difference)
	}
}

func TestFileFindingsComeTogether(t *testing.T) {
	_, err := ReadFile(writeFile(t, "matrix: {policy: [a, a]}\n"))
	for _, part := range []string{"name:", "runner:", "seeds:", "twice"} {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not in the error: %v", part, err)
		}
	}
	if _, err := ReadFile(writeFile(t, sample+"colour: red\n")); err == nil {
		t.Error("an unknown field was accepted")
	}
}

// sumRunner fails for one run and otherwise returns values computed from the
// parameters.
var sumRunner = RunnerFunc(func(_ context.Context, p Parameters) (Measurements, error) {
	if p.Policy == "two" && p.Load == 1 && p.Seed == 8 {
		return Measurements{}, errors.New("planted")
	}
	return Measurements{
		Values:        []Value{{Metric: "sum", Unit: "s", Value: p.Load + float64(p.Seed)}},
		Distributions: []Distribution{{Metric: "wait", Unit: "s", Samples: []float64{3, 1, 2, 4}}},
	}, nil
})

func executeSample(t *testing.T, parallel int) (Result, error) {
	t.Helper()
	file, err := ReadFile(writeFile(t, sample))
	if err != nil {
		t.Fatal(err)
	}
	return Execute(t.Context(), file, Registry{"sum": sumRunner}, Options{Parallel: parallel})
}

func TestOneFailedRunDoesNotStopTheOthers(t *testing.T) {
	result, err := executeSample(t, 1)
	if err == nil || !strings.Contains(err.Error(), "two  load 1 none seed 8: planted") {
		t.Errorf("the error is %v", err)
	}
	if len(result.Runs) != 7 {
		t.Errorf("the result has %d runs, expected 7", len(result.Runs))
	}
}

func TestOrderDoesNotHangOnParallelRuns(t *testing.T) {
	one, _ := executeSample(t, 1)
	many, _ := executeSample(t, 8)
	if difference := cmp.Diff(one.Rows(), many.Rows()); difference != "" {
		t.Error(difference)
	}
}

func TestUnknownRunnerIsNamed(t *testing.T) {
	_, err := Execute(t.Context(), File{Runner: "none"}, Registry{"sum": sumRunner}, Options{})
	if err == nil || !strings.Contains(err.Error(), "sum") {
		t.Errorf("the error does not list the runners: %v", err)
	}
}

func TestCSVIsReadBack(t *testing.T) {
	result, _ := executeSample(t, 1)
	var text bytes.Buffer
	if err := WriteCSV(&text, result.Rows()); err != nil {
		t.Fatal(err)
	}
	rows, err := ReadCSV(&text)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(result.Rows(), rows); difference != "" {
		t.Error(difference)
	}
	if _, err := ReadCSV(strings.NewReader("a,b,c,d,e,f,g,h\n")); err == nil {
		t.Error("a file with another header was accepted")
	}
}

func TestQuantilesOfADistribution(t *testing.T) {
	sorted := []float64{1, 2, 3, 4}
	for share, expected := range map[float64]float64{0: 1, 0.5: 2, 0.9: 4, 0.99: 4, 1: 4} {
		if got := Quantile(sorted, share); got != expected {
			t.Errorf("quantile %v is %v, expected %v", share, got, expected)
		}
	}
}

func rowsWith(values ...float64) []Row {
	var rows []Row
	for index, value := range values {
		rows = append(rows, Row{Metric: "wait", Unit: "s", Seed: uint64(index), Value: value})
	}
	return rows
}

func TestCompareTellsAChangeFromChance(t *testing.T) {
	noisy := rowsWith(10, 30, 20, 50, 40, 25)
	cases := []struct {
		name    string
		newer   []Row
		changed bool
		paired  bool
	}{
		{"each seed a little less", rowsWith(9, 28, 19, 48, 39, 24), true, true},
		{"some more, some less", rowsWith(11, 29, 21, 49, 41, 24), false, true},
		{"other seeds, about the same", rowsWith(12, 28, 22, 45, 41), false, false},
		{"other seeds, much more", rowsWith(90, 100, 110, 95, 105), true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			differences := Compare(noisy, test.newer)
			if len(differences) != 1 {
				t.Fatalf("%d differences, expected 1", len(differences))
			}
			got := differences[0]
			if got.Change.ExcludesZero() != test.changed || got.Paired != test.paired {
				t.Errorf("change %+v, paired %v", got.Change, got.Paired)
			}
			if got.Change.Low > got.Change.Mean || got.Change.Mean > got.Change.High {
				t.Errorf("the interval %+v does not contain its mean", got.Change)
			}
		})
	}
}

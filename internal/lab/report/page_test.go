package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

func sampleResult() experiment.Result {
	result := experiment.Result{File: experiment.File{Name: "sample", Runner: "r", Seeds: []uint64{1, 2}}}
	for _, policy := range []string{"eager", "<lazy>"} {
		for _, seed := range result.File.Seeds {
			result.Runs = append(result.Runs, experiment.Run{
				Parameters: experiment.Parameters{Cell: experiment.Cell{Policy: policy, Load: 2, Fault: "none"}, Seed: seed},
				Measurements: experiment.Measurements{
					Values:        []experiment.Value{{Metric: "idle", Unit: "h", Value: float64(seed)}},
					Distributions: []experiment.Distribution{{Metric: "cold", Unit: "s", Samples: []float64{1, 2, 3}}},
					Series:        []experiment.Series{{Metric: "ready", Unit: "replicas", Points: []experiment.Point{{Seconds: 0, Value: 1}, {Seconds: 9, Value: 2}}}},
				},
			})
		}
	}
	return result
}

func TestPageStandsAlone(t *testing.T) {
	var text bytes.Buffer
	page := Page{
		Result: sampleResult(), Failures: "seed 9: planted",
		Environment: ThisEnvironment(time.Unix(0, 0), "spanlab experiment"),
		Differences: experiment.Compare(sampleResult().Rows(), sampleResult().Rows()), Older: "old.csv",
	}
	if err := page.WriteHTML(&text); err != nil {
		t.Fatal(err)
	}
	shown := text.String()
	for _, part := range []string{
		"eager", "&lt;lazy&gt;", "1.5 (1 to 2)", "cold p99", "replicas", "seed 9: planted",
		"old.csv", "1970-01-01T00:00:00Z", "go1.",
	} {
		if !strings.Contains(shown, part) {
			t.Errorf("the page does not show %q", part)
		}
	}
	if drawn := strings.Count(shown, "<svg"); drawn != 2 {
		t.Errorf("%d plots, expected two: a distribution and a time series", drawn)
	}
	for _, part := range []string{"<lazy>", "<?xml", "<script", "src=", "@import"} {
		if strings.Contains(shown, part) {
			t.Errorf("the page contains %q", part)
		}
	}
}

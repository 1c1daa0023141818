package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeReports writes report files into a new folder and returns its path.
func writeReports(t *testing.T, contents map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, content := range contents {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestFiguresOfDaysWithTrouble(t *testing.T) {
	folder := writeReports(t, map[string]string{
		"trouble-1@own.json": `{"G":0.5,"served":0.8,"parts":[["whole day",0.75,0.8]],"prices":[["orders",120,0.01]],
			"classes":[{"name":"a","n":10,"in_aim":6,"late":3,"worth":0.7}]}`,
		"trouble-1@2.json": `{"G":0.7,"served":0.9,"breaks":{"LOST":1},"short":["x"]}`,
		"quiet-1@own.json": `{"G":0.9,"served":1.0}`,
	})
	got, err := collect(folder)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{
		"0 worth, days with trouble": 0.6,
		"1 day quiet-1":              0.9,
		"1 day trouble-1":            0.6,
		"2 rules broken":             1.0 / 3,
		"2 floors missed":            1.0 / 3,
		"3 part whole day":           0.8,
		"4 kind a late":              0.3,
		"4 kind a unserved":          0.1,
		"5 price orders":             0.01,
	}
	for name, mean := range want {
		if math.Abs(got[name].mean()-mean) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got[name].mean(), mean)
		}
	}
	if got, want := got["1 day trouble-1"].deviation(), math.Sqrt(0.02); math.Abs(got-want) > 1e-9 {
		t.Errorf("deviation %v, want %v", got, want)
	}
}

func TestDamagedReportIsNamed(t *testing.T) {
	folder := writeReports(t, map[string]string{"scale-1@3.json": `{"G":`})
	if _, err := collect(folder); err == nil || !strings.Contains(err.Error(), "scale-1@3.json") {
		t.Errorf("error %v, want one that names the file", err)
	}
}

func TestSpreadOfADifference(t *testing.T) {
	if got := standardError(samples{1, 3}, samples{2, 2}); math.Abs(got-1) > 1e-9 {
		t.Errorf("standard error %v, want 1", got)
	}
}

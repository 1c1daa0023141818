package sim_test

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/spanlanding/spanlanding/internal/sim/world"
)

// TestCorpus replays every run that once violated a rule.
func TestCorpus(t *testing.T) {
	paths, err := filepath.Glob("testdata/corpus/*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			known, err := world.ReadCase(path)
			if err != nil {
				t.Fatal(err)
			}
			if violated := known.Run().Violated(); !slices.Equal(violated, known.Violates) {
				t.Errorf("%s: violated %v; want %v", known.Cause, violated, known.Violates)
			}
		})
	}
}

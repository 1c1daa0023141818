package sim_test

import (
	"path/filepath"
	"testing"

	"github.com/spanlanding/spanlanding/internal/sim/world"
)

// TestCorpus replays the saved runs, each of which violated a rule before its
// fault was fixed.
func TestCorpus(t *testing.T) {
	paths, err := filepath.Glob("testdata/corpus/*.json")
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatal("the corpus is empty")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			known, err := world.ReadCase(path)
			if err != nil {
				t.Fatal(err)
			}
			report := known.Run()
			for _, rule := range report.Rules {
				for _, violation := range rule.Violations {
					t.Errorf("%s: %s at %s: %s", known.Cause, rule.Name, violation.At, violation.Detail)
				}
			}
		})
	}
}

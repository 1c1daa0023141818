package spec

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite testdata/broken.txt; review the diff before committing it")

// TestBrokenFolderYieldsEveryFinding compares the findings for examples/broken with
// testdata/broken.txt line by line.
func TestBrokenFolderYieldsEveryFinding(t *testing.T) {
	const golden = "testdata/broken.txt"
	t.Chdir("../..")
	_, findings := Options{ServerMemory: 48 << 30, Zones: []string{"oslo-a", "oslo-b"}}.Load([]string{"examples/broken"})
	t.Chdir("internal/spec")
	got := findings.String() + "\n"
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(string(want), got); difference != "" {
		t.Errorf("findings (-want +got):\n%s", difference)
	}
}

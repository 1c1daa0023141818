package buildid

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"
)

func TestBuilds(t *testing.T) {
	revision := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}}
	if got := revisionOf(revision); got != "0123456789ab" {
		t.Errorf("build %q", got)
	}
	if got := revisionOf(append(revision, debug.BuildSetting{Key: "vcs.modified", Value: "true"})); got != "0123456789ab+changes" {
		t.Errorf("build %q of changed sources", got)
	}
	if got := linked("/proc/self/exe"); got == Unknown || len(got) != shortLength {
		t.Errorf("build %q of this program", got)
	}
	other := filepath.Join(t.TempDir(), "no-program")
	if err := os.WriteFile(other, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{other, filepath.Join(t.TempDir(), "nothing")} {
		if got := linked(path); got != Unknown {
			t.Errorf("build %q of what is no program", got)
		}
	}
}

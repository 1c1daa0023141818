package buildid

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"
)

func TestBuilds(t *testing.T) {
	revision := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}}
	if got := vcsRevision(revision); got != "0123456789ab" {
		t.Errorf("revision of unmodified sources is %q", got)
	}
	if got := vcsRevision(append(revision, debug.BuildSetting{Key: "vcs.modified", Value: "true"})); got != "0123456789ab+changes" {
		t.Errorf("revision of modified sources is %q", got)
	}
	if got := linkerBuildID("/proc/self/exe"); got == Unknown || len(got) != shortIDLength {
		t.Errorf("linker build ID of this program is %q", got)
	}
	notELF := filepath.Join(t.TempDir(), "no-program")
	if err := os.WriteFile(notELF, []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{notELF, filepath.Join(t.TempDir(), "nothing")} {
		if got := linkerBuildID(path); got != Unknown {
			t.Errorf("linker build ID of a file that is missing or not ELF is %q", got)
		}
	}
}

package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/spec"
)

const validSettings = `
name: oslo-a-1
zone: oslo-a
listen:
  caller: 127.0.0.1:7001
  operator: 127.0.0.1:7002
  peer: 127.0.0.1:7003
  gossip: 127.0.0.1:7004
platform: http://127.0.0.1:7900
`

func readText(t *testing.T, text string) (Settings, spec.Findings) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadSettings(path).Complete()
}

func TestAddressesZoneAndPlatformAreEnough(t *testing.T) {
	settings, findings := readText(t, validSettings)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if settings.DrainLimit != defaultDrainLimit || settings.Limits.MaxWaiting != defaultMaxWaiting {
		t.Fatalf("defaults are missing: %+v", settings)
	}
}

func TestUnknownSettingIsRefused(t *testing.T) {
	_, findings := readText(t, validSettings+"zoen: oslo-b\n")
	if len(findings) != 1 || !strings.Contains(findings[0].Problem, "zoen") {
		t.Fatalf("got %v", findings)
	}
}

// TestBrokenSettingsYieldEveryFinding compares the findings for the broken file with the
// expected list: none may be missing, misplaced or added.
func TestBrokenSettingsYieldEveryFinding(t *testing.T) {
	_, findings := ReadSettings("testdata/broken-settings.yaml").Complete()
	want, err := os.ReadFile("testdata/broken-settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(string(want), findings.String()+"\n"); difference != "" {
		t.Errorf("findings (-want +got):\n%s", difference)
	}
}

func TestSettingsThatAreNotYAML(t *testing.T) {
	for _, text := range []string{"a: [", "- a\n- b\n", "plain text"} {
		_, findings := readText(t, text)
		if len(findings) != 1 || findings[0].Line != 1 {
			t.Errorf("%q: want one finding at line 1, got:\n%v", text, findings)
		}
	}
	if _, findings := ReadSettings(filepath.Join(t.TempDir(), "none.yaml")).Complete(); len(findings) != 1 {
		t.Errorf("a missing file: %v", findings)
	}
	if _, findings := readText(t, ""); len(findings) != 7 {
		t.Errorf("an empty file lacks name, zone, four addresses and the platform; got:\n%v", findings)
	}
	if _, findings := readText(t, validSettings+"---\nname: b\n"); len(findings) != 1 {
		t.Errorf("a second document: %v", findings)
	}
}

// TestAFlagStandsForTheFile checks that a flag supplies a field that the file lacks, and
// that the finding for a wrong flag names the flag.
func TestAFlagStandsForTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(validSettings, "zone: oslo-a", "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	draft := ReadSettings(path)
	draft.Settings.Zone = "oslo-b"
	draft.Override("zone", "--zone")
	draft.Settings.LogLevel = "loud"
	draft.Override("logLevel", "--log-level")
	_, findings := draft.Complete()
	want := "--log-level: logLevel is \"loud\"; give debug, info, warn or error"
	if findings.String() != want {
		t.Errorf("got:\n%v\nwant:\n%s", findings, want)
	}
}

func TestSettingsMadeByAProgram(t *testing.T) {
	_, err := Settings{}.Complete()
	if !errorx.IsOfType(err, ErrInvalidSettings) || !strings.Contains(err.Error(), "settings: zone is missing") {
		t.Errorf("got %v", err)
	}
}

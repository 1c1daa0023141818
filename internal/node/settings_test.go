package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
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

func readText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := ReadSettings(path)
	if err != nil {
		return settings, err
	}
	return settings.Complete()
}

func TestAddressesZoneAndPlatformAreEnough(t *testing.T) {
	settings, err := readText(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if settings.DrainLimit != defaultDrainLimit || settings.Limits.MaxWaiting != defaultMaxWaiting {
		t.Fatalf("defaults are missing: %+v", settings)
	}
}

func TestUnknownSettingIsRefused(t *testing.T) {
	_, err := readText(t, validSettings+"zoen: oslo-b\n")
	if err == nil || !strings.Contains(err.Error(), "zoen") {
		t.Fatalf("got %v", err)
	}
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	_, err := readText(t, "listen: {caller: here, operator: 127.0.0.1:1, peer: 127.0.0.1:2, gossip: 127.0.0.1:3}\nplatform: ftp://x\ndrainLimit: 1ms\nlogLevel: loud\nseeds: [nowhere]\n")
	if err == nil {
		t.Fatal("invalid settings were taken")
	}
	for _, field := range []string{"name:", "zone:", "listen.caller:", "platform:", "drainLimit:", "logLevel:", "seeds[0]:"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("no finding for %s in:\n%v", field, err)
		}
	}
}

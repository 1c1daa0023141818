package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
)

// run executes a command and returns its exit code and output.
func run(t *testing.T, arguments ...string) (operator.ExitCode, string) {
	t.Helper()
	var out bytes.Buffer
	app := newApp()
	app.Writer, app.ErrWriter = &out, &out
	err := app.Run(t.Context(), append([]string{"spanlanding"}, arguments...))
	return operator.CodeOf(err), out.String()
}

func TestExitCodes(t *testing.T) {
	platform := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{
		Machines: machines.Options{Lag: machines.DefaultLag}, History: 1000,
	})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	platformArgument := "--platform=" + server.URL
	const fjordkurv = "../../examples/fjordkurv"
	// The order matters: later cases depend on what earlier ones wrote.
	cases := []struct {
		line string
		want operator.ExitCode
	}{
		{"validate " + fjordkurv, operator.ExitDone},
		{"validate ../../examples/broken", operator.ExitInvalid},
		{"validate --server-memory=16GiB " + fjordkurv, operator.ExitInvalid},
		{"validate", operator.ExitUsage},
		{"validate --zones=oslo-a,oslo-b testdata/evacuation", operator.ExitDone},
		{"validate --zones=oslo-b testdata/evacuation", operator.ExitInvalid},
		{"completion bash", operator.ExitDone},
		{"node --check --settings ../../examples/settings/oslo-a-1.yaml", operator.ExitDone},
		{"node --check --settings ../../internal/node/testdata/broken-settings.yaml", operator.ExitInvalid},
		{"node --check --settings ../../examples/settings/none.yaml", operator.ExitInvalid},
		{"node --check", operator.ExitInvalid},
		{"validate --nothing " + fjordkurv, operator.ExitUsage},
		{"validate -o yaml " + fjordkurv, operator.ExitUsage},
		{"nothing", operator.ExitUsage},
		{"apply " + fjordkurv, operator.ExitUsage},
		{"apply --platform=127.0.0.1:1 " + fjordkurv, operator.ExitUnreachable},
		{"diff " + platformArgument + " " + fjordkurv, operator.ExitDifferent},
		{"apply " + platformArgument + " ../../examples/broken", operator.ExitInvalid},
		{"get " + platformArgument + " Model kurv-chat", operator.ExitNotFound},
		{"apply " + platformArgument + " --by anna " + fjordkurv, operator.ExitDone},
		{"diff " + platformArgument + " " + fjordkurv, operator.ExitDone},
		{"apply " + platformArgument + " --owner=other " + fjordkurv, operator.ExitConflict},
		{"get " + platformArgument + " Model kurv-chat", operator.ExitDone},
		{"get " + platformArgument + " model", operator.ExitDone},
		{"apply -o version " + platformArgument + " " + fjordkurv, operator.ExitDone},
		{"diff -o version " + platformArgument + " " + fjordkurv, operator.ExitUsage},
		{"get " + platformArgument + " Evacuation oslo-a", operator.ExitNotFound},
		{"diff " + platformArgument + " --owner=zones testdata/evacuation", operator.ExitDifferent},
		{"apply " + platformArgument + " --zones=oslo-b --owner=zones testdata/evacuation", operator.ExitInvalid},
		{"get " + platformArgument + " Evacuation oslo-a", operator.ExitNotFound},
		{"apply " + platformArgument + " --zones=oslo-a --owner=zones testdata/evacuation", operator.ExitDone},
		{"get " + platformArgument + " Evacuation oslo-a", operator.ExitDone},
		{"apply " + platformArgument + " --prune --owner=zones testdata/evacuation-over", operator.ExitDone},
		{"get " + platformArgument + " Evacuation oslo-a", operator.ExitNotFound},
		{"status --node=127.0.0.1:1", operator.ExitUnreachable},
		{"wait --node=127.0.0.1:1 --version=1 --timeout=50ms", operator.ExitUnreachable},
		{"wait --node=127.0.0.1:1", operator.ExitUsage},
		{"drain 127.0.0.1:1", operator.ExitUnreachable},
		{"drain vest-a-1", operator.ExitUsage},
	}
	for _, test := range cases {
		if got, text := run(t, strings.Fields(test.line)...); got != test.want {
			t.Errorf("%s: exit code %d, want %d\n%s", test.line, got, test.want, text)
		}
	}
}

// TestApplyPrintsTheVersionAlone checks that apply -o version prints nothing but
// the version, which the third step in the README relies on.
func TestApplyPrintsTheVersionAlone(t *testing.T) {
	platform := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{
		Machines: machines.Options{Lag: machines.DefaultLag}, History: 1000,
	})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	code, text := run(t, "apply", "-o", "version", "--platform", server.URL, "../../examples/fjordkurv")
	version, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if code != operator.ExitDone || err != nil || version == 0 {
		t.Errorf("exit code %d, printed %q", code, text)
	}
}

// TestWaitWithoutAnswerNamesTheVersion guards against reporting version 0 if no
// node responds.
func TestWaitWithoutAnswerNamesTheVersion(t *testing.T) {
	code, text := run(t, "wait", "--node=127.0.0.1:1", "--version=55", "--timeout=50ms")
	if code != operator.ExitUnreachable || !strings.Contains(text, "version 55") {
		t.Errorf("exit code %d, printed %q", code, text)
	}
}

func TestFindingsAsJSON(t *testing.T) {
	_, text := run(t, "validate", "-o", "json", "../../examples/broken")
	var report validation
	if err := json.Unmarshal([]byte(text), &report); err != nil {
		t.Fatalf("%v in:\n%s", err, text)
	}
	if report.Valid || len(report.Findings) == 0 || report.Findings[0].Line == 0 {
		t.Errorf("report: %+v", report)
	}
}

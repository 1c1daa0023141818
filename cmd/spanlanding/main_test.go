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

// run starts a command and returns its exit code and what it printed.
func run(t *testing.T, arguments ...string) (operator.ExitCode, string) {
	t.Helper()
	var out bytes.Buffer
	app := newApp()
	app.Writer, app.ErrWriter = &out, &out
	err := app.Run(t.Context(), append([]string{"spanlanding"}, arguments...))
	return operator.CodeOf(err), out.String()
}

func TestExitCodes(t *testing.T) {
	standIn := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{
		Machines: machines.Options{Lag: machines.DefaultLag}, History: 1000,
	})
	server := httptest.NewServer(standIn.Handler())
	t.Cleanup(server.Close)
	at := "--platform=" + server.URL
	const fjordkurv = "../../examples/fjordkurv"
	// In order: later cases rely on what earlier ones wrote.
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
		{"diff " + at + " " + fjordkurv, operator.ExitDifferent},
		{"apply " + at + " ../../examples/broken", operator.ExitInvalid},
		{"get " + at + " Model kurv-chat", operator.ExitNotFound},
		{"apply " + at + " --by anna " + fjordkurv, operator.ExitDone},
		{"diff " + at + " " + fjordkurv, operator.ExitDone},
		{"apply " + at + " --owner=other " + fjordkurv, operator.ExitConflict},
		{"get " + at + " Model kurv-chat", operator.ExitDone},
		{"get " + at + " model", operator.ExitDone},
		{"apply -o version " + at + " " + fjordkurv, operator.ExitDone},
		{"diff -o version " + at + " " + fjordkurv, operator.ExitUsage},
		{"get " + at + " Evacuation oslo-a", operator.ExitNotFound},
		{"diff " + at + " --owner=zones testdata/evacuation", operator.ExitDifferent},
		{"apply " + at + " --zones=oslo-b --owner=zones testdata/evacuation", operator.ExitInvalid},
		{"get " + at + " Evacuation oslo-a", operator.ExitNotFound},
		{"apply " + at + " --zones=oslo-a --owner=zones testdata/evacuation", operator.ExitDone},
		{"get " + at + " Evacuation oslo-a", operator.ExitDone},
		{"apply " + at + " --prune --owner=zones testdata/evacuation-over", operator.ExitDone},
		{"get " + at + " Evacuation oslo-a", operator.ExitNotFound},
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

// TestApplyPrintsTheVersionAlone holds what the README's third step relies on.
func TestApplyPrintsTheVersionAlone(t *testing.T) {
	standIn := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{
		Machines: machines.Options{Lag: machines.DefaultLag}, History: 1000,
	})
	server := httptest.NewServer(standIn.Handler())
	t.Cleanup(server.Close)
	code, text := run(t, "apply", "-o", "version", "--platform", server.URL, "../../examples/fjordkurv")
	version, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if code != operator.ExitDone || err != nil || version == 0 {
		t.Errorf("exit code %d, printed %q", code, text)
	}
}

// TestWaitWithoutAnswerNamesTheVersion holds that no answer is not shown as
// version 0.
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
		t.Errorf("the report is %+v", report)
	}
}

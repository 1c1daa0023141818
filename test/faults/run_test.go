package faults

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// The load of each run. The seed fixes the plan of requests.
const (
	loadRate = 20
	loadTime = 5 * time.Second
	seed     = 7
)

// always are the rules that every run has to exercise.
var always = []check.Rule{
	check.RuleReplicas, check.RuleMemory, check.RuleEnded, check.RuleOwnAnswer, check.RuleAtMostOnce,
}

// run is one load on the fleet with what is brought about meanwhile.
type run struct {
	// duration is how long requests are sent; loadTime if zero.
	duration time.Duration
	// script is run once the first request is on its way.
	script func(reached map[scenario.Moment]chan struct{})
	// rules must come into play beside those that every run exercises.
	rules []check.Rule
}

// moments that scripts may wait for.
var moments = []scenario.Moment{scenario.MomentStart, scenario.MomentKillEngine, scenario.MomentChange, scenario.MomentStopNode}

// underLoad puts load on the fleet, runs the script and demands that every rule
// was kept.
func (f *testFleet) underLoad(run run) {
	f.Helper()
	f.judge(f.load(run), run.rules)
}

// load puts load on the fleet, runs the script and returns what was judged.
func (f *testFleet) load(run run) report.Summary {
	f.Helper()
	reached := make(map[scenario.Moment]chan struct{})
	for _, moment := range moments {
		reached[moment] = make(chan struct{})
	}
	options := f.options(cmp.Or(run.duration, loadTime), func(moment scenario.Moment) {
		if signal := reached[moment]; signal != nil {
			close(signal)
		}
	})
	f.writeFaults()
	ctx, cancel := context.WithCancel(f.Context())
	f.Cleanup(cancel)
	type result struct {
		summary report.Summary
		err     error
	}
	ended := make(chan result, 1)
	go func() {
		summary, err := scenario.Run(ctx, options)
		ended <- result{summary: summary, err: err}
	}()
	select {
	case <-reached[scenario.MomentStart]:
	case early := <-ended:
		f.Fatalf("the load did not begin: %v", early.err)
	}
	f.begun = time.Now()
	run.script(reached)
	f.Logf("the script of faults took %s of %s", time.Since(f.begun).Round(time.Millisecond), options.Duration)
	outcome := <-ended
	if outcome.err != nil {
		f.Fatal(outcome.err)
	}
	return outcome.summary
}

func (f *testFleet) options(duration time.Duration, announce func(scenario.Moment)) scenario.Options {
	options := scenario.Options{
		Platform: f.platform, Profile: profile, Rate: loadRate, Duration: duration, Seed: seed,
		Backends: f.liveBackends(), Ready: patience, FaultLog: f.faultLog(), Announce: announce,
		HistoryFile: filepath.Join(f.folder, "history.jsonl"),
	}
	for _, node := range f.nodes {
		options.Nodes = append(options.Nodes, node.caller())
		options.Operators = append(options.Operators, node.operator())
	}
	return options
}

func (f *testFleet) liveBackends() int {
	live := f.services
	for _, engine := range f.engines {
		select {
		case <-engine.ended:
		default:
			live++
		}
	}
	return live
}

func (f *testFleet) faultLog() string {
	return filepath.Join(f.folder, "faults.jsonl")
}

// writeFaults hands what was noted so far to the judge, which may read the
// file at any time; so it changes in one step.
func (f *testFleet) writeFaults() {
	f.Helper()
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, fault := range f.log {
		if err := encoder.Encode(fault); err != nil {
			f.Fatal(err)
		}
	}
	path := f.faultLog()
	if err := os.WriteFile(path+".new", lines.Bytes(), 0o600); err != nil {
		f.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		f.Fatal(err)
	}
}

// judge prints each verdict and fails the test for each rule that was broken
// or that had to come into play and did not.
func (f *testFleet) judge(summary report.Summary, rules []check.Rule) {
	f.Helper()
	f.Logf("requests: %d, outcomes %v, orders refused for their fence: %d",
		summary.Requests, summary.Outcomes, summary.Loads.RefusedOrders)
	required := slices.Concat(always, rules)
	for _, verdict := range summary.Verdicts {
		f.Logf("%-37s %-13s %d %s %v", verdict.Rule, verdict.State, verdict.Exercised, verdict.Unit, verdict.Notes)
		for _, finding := range verdict.Findings {
			f.Errorf("%s broken at %s: %s", verdict.Rule, finding.At.Format(time.RFC3339Nano), finding.Detail)
		}
		if verdict.State == check.NotExercised && slices.Contains(required, verdict.Rule) {
			f.Errorf("%s was not exercised", verdict.Rule)
		}
	}
}

// stop asks a node to stop as planned, waits for its end and notes the exit
// code for the judge.
func (f *testFleet) stop(node *testNode) {
	f.Helper()
	f.note(history.NodeStopped, node.caller(), string(node.settings.Name))
	node.signal(f.T, syscall.SIGTERM)
	f.noteExit(node)
}

// noteExit waits for the node's end.
func (f *testFleet) noteExit(node *testNode) {
	f.Helper()
	f.note(history.NodeExited, node.caller(), strconv.Itoa(node.exitCode(f.T)))
}

// command runs spanlanding and returns its exit code with all it wrote.
func (f *testFleet) command(arguments ...string) (operator.ExitCode, string, string) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.Context(), patience)
	defer cancel()
	command := exec.CommandContext(ctx, spanlanding, arguments...)
	var output, problems bytes.Buffer
	command.Stdout, command.Stderr = &output, &problems
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.Error(err)
	}
	return operator.ExitCode(command.ProcessState.ExitCode()), output.String(), problems.String()
}

// tryApply applies a folder.
func (f *testFleet) tryApply(folder, by string) (operator.ExitCode, operator.ApplyResult, string) {
	f.Helper()
	code, output, problems := f.command("apply", "--platform", f.platform, "--by", by, "--owner", profile,
		"--timeout", "30s", "-o", "json", folder)
	var result operator.ApplyResult
	if err := json.Unmarshal([]byte(output), &result); err != nil && code == operator.ExitDone {
		f.Errorf("apply by %s printed %q: %v", by, output, err)
	}
	return code, result, problems
}

// apply demands that a folder is accepted.
func (f *testFleet) apply(folder, by string) operator.ApplyResult {
	f.Helper()
	code, result, problems := f.tryApply(folder, by)
	if code != operator.ExitDone {
		f.Fatalf("apply by %s ended with %d: %s", by, code, problems)
	}
	return result
}

// awaitVersion demands that a version comes into force at every live node.
func (f *testFleet) awaitVersion(asked *testNode, version uint64) {
	f.Helper()
	code, output, problems := f.command("wait", "--node", asked.operator(),
		"--version", strconv.FormatUint(version, 10), "--timeout", patience.String())
	if code != operator.ExitDone {
		f.Fatalf("wait for version %d ended with %d: %s%s", version, code, output, problems)
	}
}

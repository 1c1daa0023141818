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

// The load of each run. The seed determines the sequence of requests.
const (
	loadRate     = 20
	loadDuration = 5 * time.Second
	seed         = 7
)

// commonRules are the rules that every run must exercise.
var commonRules = []check.Rule{
	check.RuleReplicas, check.RuleMemory, check.RuleEnded, check.RuleOwnAnswer, check.RuleAtMostOnce,
}

// loadRun is a load on the fleet together with the faults injected during it.
type loadRun struct {
	// duration is how long requests are sent; zero means loadDuration.
	duration time.Duration
	// script is called once the first request has been sent.
	script func(reached map[scenario.Moment]chan struct{})
	// requiredRules must be exercised in addition to commonRules.
	requiredRules []check.Rule
}

// moments lists the moments that scripts may wait for.
var moments = []scenario.Moment{scenario.MomentStart, scenario.MomentKillEngine, scenario.MomentChange, scenario.MomentStopNode}

// loadAndCheck puts load on the fleet, runs the script and requires that every rule
// held.
func (f *testFleet) loadAndCheck(run loadRun) {
	f.Helper()
	f.checkVerdicts(f.runLoad(run), run.requiredRules)
}

// runLoad puts load on the fleet, runs the script and returns the summary of the checks.
func (f *testFleet) runLoad(run loadRun) report.Summary {
	f.Helper()
	defer watchStalls(f)()
	reached := make(map[scenario.Moment]chan struct{})
	for _, moment := range moments {
		reached[moment] = make(chan struct{})
	}
	options := f.options(cmp.Or(run.duration, loadDuration), func(moment scenario.Moment) {
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
		f.Fatalf("the load did not start: %v", early.err)
	}
	f.loadStarted = time.Now()
	run.script(reached)
	f.Logf("the fault script took %s of %s", time.Since(f.loadStarted).Round(time.Millisecond), options.Duration)
	outcome := <-ended
	if outcome.err != nil {
		f.Fatal(outcome.err)
	}
	return outcome.summary
}

func (f *testFleet) options(duration time.Duration, announce func(scenario.Moment)) scenario.Options {
	options := scenario.Options{
		Platform: f.platform, Profile: profile, Rate: loadRate, Duration: duration, Seed: seed,
		Backends: f.liveBackends(), Ready: waitTimeout, FaultLog: f.faultLog(), Announce: announce,
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
		case <-engine.exited:
		default:
			live++
		}
	}
	return live
}

func (f *testFleet) faultLog() string {
	return filepath.Join(f.folder, "faults.jsonl")
}

// writeFaults writes the faults recorded so far for the checks, which may read the file
// at any time; the file is therefore replaced atomically.
func (f *testFleet) writeFaults() {
	f.Helper()
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, fault := range f.injected {
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

// checkVerdicts logs each verdict and fails the test for each rule that was violated or
// that was required but not exercised.
func (f *testFleet) checkVerdicts(summary report.Summary, rules []check.Rule) {
	f.Helper()
	f.Logf("requests: %d, outcomes %v, orders refused for a stale fence: %d",
		summary.Requests, summary.Outcomes, summary.Loads.RefusedOrders)
	required := slices.Concat(commonRules, rules)
	for _, verdict := range summary.Verdicts {
		f.Logf("%-37s %-13s %d %s %v", verdict.Rule, verdict.State, verdict.Exercised, verdict.Unit, verdict.Notes)
		for _, finding := range verdict.Findings {
			f.Errorf("%s violated at %s: %s", verdict.Rule, finding.At.Format(time.RFC3339Nano), finding.Detail)
		}
		if verdict.State == check.NotExercised && slices.Contains(required, verdict.Rule) {
			f.Errorf("%s was not exercised", verdict.Rule)
		}
	}
}

// stopNode stops a node gracefully, waits until it exits and records the exit code for
// the checks.
func (f *testFleet) stopNode(node *testNode) {
	f.Helper()
	f.recordFault(history.NodeStopped, node.caller(), string(node.settings.Name))
	node.signal(f.T, syscall.SIGTERM)
	f.recordExit(node)
}

// recordExit waits until the node exits and records its exit code.
func (f *testFleet) recordExit(node *testNode) {
	f.Helper()
	f.recordFault(history.NodeExited, node.caller(), strconv.Itoa(node.exitCode(f.T)))
}

// runCommand runs spanlanding and returns its exit code, standard output and standard error.
func (f *testFleet) runCommand(arguments ...string) (operator.ExitCode, string, string) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.Context(), waitTimeout)
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

// tryApply applies the declarations in a folder and returns the result.
func (f *testFleet) tryApply(folder, by string) (operator.ExitCode, operator.ApplyResult, string) {
	f.Helper()
	code, output, problems := f.runCommand("apply", "--platform", f.platform, "--by", by, "--owner", profile,
		"--timeout", "30s", "-o", "json", folder)
	var result operator.ApplyResult
	if err := json.Unmarshal([]byte(output), &result); err != nil && code == operator.ExitDone {
		f.Errorf("apply by %s printed %q: %v", by, output, err)
	}
	return code, result, problems
}

// apply applies the declarations in a folder and fails the test if they are rejected.
func (f *testFleet) apply(folder, by string) operator.ApplyResult {
	f.Helper()
	code, result, problems := f.tryApply(folder, by)
	if code != operator.ExitDone {
		f.Fatalf("apply by %s ended with %d: %s", by, code, problems)
	}
	return result
}

// awaitVersion requires that a version comes into force at every live node.
func (f *testFleet) awaitVersion(node *testNode, version uint64) {
	f.Helper()
	code, output, problems := f.runCommand("wait", "--node", node.operator(),
		"--version", strconv.FormatUint(version, 10), "--timeout", waitTimeout.String())
	if code != operator.ExitDone {
		f.Fatalf("wait for version %d ended with %d: %s%s", version, code, output, problems)
	}
}

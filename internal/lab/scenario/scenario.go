package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/collect"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/inject"
	"github.com/spanlanding/spanlanding/internal/lab/load"
	"github.com/spanlanding/spanlanding/internal/lab/report"
)

// Options configure a run.
type Options struct {
	// Nodes are the addresses at which the nodes serve callers.
	Nodes    []string
	Platform string
	// Operators are the addresses at which the nodes serve operators.
	Operators []string
	// Books are URLs of books in addition to those of the listed machines.
	Books    []string
	Profile  string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Backends is how many back ends the platform must list and every node must
	// know before the load begins. Ready is the timeout for that.
	Backends int
	Ready    time.Duration
	// Faults are injected at the stand-ins while the load runs.
	Faults []inject.Kind
	// FaultLog is the file in which the caller logs the faults that it injects; see
	// history.ReadFaults. It may be empty.
	FaultLog string
	// HistoryFile is the file to which the records are written, if not empty.
	HistoryFile string
	// Announce is called at each moment of the scenario, Progress with the numbers
	// of requests so far; neither may block.
	Announce func(moment Moment)
	Progress func(sent, ended int)
}

// Moment is a time in a scenario at which the caller acts, such as by injecting a
// fault.
type Moment string

// The moments, in order of time. The name of each is the action due.
const (
	MomentStart      Moment = "start"
	MomentKillNode   Moment = "kill-node"
	MomentPauseNode  Moment = "pause-node"
	MomentKillEngine Moment = "kill-engine"
	MomentChange     Moment = "change"
	// MomentContinueNode ends the pause.
	MomentContinueNode Moment = "continue-node"
	// MomentLeaveEngine starts the planned leaving of an engine.
	MomentLeaveEngine Moment = "leave-engine"
	MomentStopNode    Moment = "stop-node"
	MomentSent        Moment = "all-sent"
	MomentEnd         Moment = "end"
)

// schedule has the time of each moment, as a share of the duration.
var schedule = []struct {
	moment Moment
	share  float64
}{
	{MomentStart, 0},
	{MomentKillNode, 0.2},
	{MomentPauseNode, 0.25},
	{MomentKillEngine, 0.35},
	{MomentChange, 0.45},
	{MomentContinueNode, 0.5},
	{MomentLeaveEngine, 0.55},
	{MomentStopNode, 0.65},
	{MomentSent, 1},
}

// longStreamShare is when long streams begin, as a share of the duration: a
// little before the planned stop of a node, so that they run during it.
const longStreamShare = 0.62

// Run runs the scenario and checks the evidence against the rules.
func Run(ctx context.Context, options Options) (report.Summary, error) {
	profile, err := load.FindProfile(options.Profile)
	if err != nil {
		return report.Summary{}, err
	}
	if err := awaitReady(ctx, options); err != nil {
		return report.Summary{}, err
	}
	collector := collect.New(collect.Options{Platform: options.Platform, Operators: options.Operators, Books: options.Books})
	stop, err := startCollecting(ctx, collector)
	if err != nil {
		return report.Summary{}, err
	}
	evidence, err := runLoad(ctx, options, profile, collector)
	stop()
	collector.Finish(ctx)
	if err != nil {
		return report.Summary{}, err
	}
	evidence.Ended = time.Now()
	if err := completeEvidence(ctx, &evidence, options, collector); err != nil {
		return report.Summary{}, err
	}
	summary := report.Summarize(evidence, check.Judge(evidence, check.DefaultTolerances()))
	summary.Profile, summary.Seed = options.Profile, options.Seed
	summary.Problems = make(map[string]string)
	for source, problem := range collector.Problems() {
		summary.Problems[source] = fmt.Sprintf("%d times: %s", problem.Times, problem.Last)
	}
	return summary, nil
}

// startCollecting starts the collector and returns after its first sample.
func startCollecting(ctx context.Context, collector *collect.Collector) (stop func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	started := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- collector.Run(ctx, func() { close(started) }) }()
	select {
	case <-started:
		return func() { cancel(); <-ended }, nil
	case err := <-ended:
		cancel()
		return nil, errors.Join(errors.New("the run ended before it began"), err)
	}
}

// runLoad plans the load and sends it while moments are announced and faults
// injected.
func runLoad(ctx context.Context, options Options, profile load.Profile, collector *collect.Collector) (check.Evidence, error) {
	classes, err := load.ReadClasses(collector.Objects())
	if err != nil {
		return check.Evidence{}, err
	}
	if len(classes.Models) == 0 {
		return check.Evidence{}, errors.New("no deployment is declared, so there is nothing to ask for")
	}
	started := time.Now()
	runID := strconv.FormatUint(options.Seed, 10) + "-" + strconv.FormatInt(started.Unix(), 36)
	plan := load.Plan(load.PlanOptions{
		Seed: options.Seed, RunID: runID, Nodes: options.Nodes, Classes: classes,
		Profile: profile, Duration: options.Duration, Rate: options.Rate,
		LongAt: time.Duration(longStreamShare * float64(options.Duration)),
	})
	announceContext, stop := context.WithCancel(ctx)
	announceDone := make(chan struct{})
	go func() {
		defer close(announceDone)
		announceMoments(announceContext, options, started)
	}()
	injected := startFaults(announceContext, options, collector)
	records := load.Run(ctx, plan, load.RunOptions{
		RunID: runID, Sender: load.NewClient(), Nodes: options.Nodes, Progress: options.Progress,
	})
	waitUntil(ctx, started.Add(options.Duration+settleTime))
	stop()
	<-announceDone
	injection := <-injected
	if injection.err != nil {
		// The caller may have killed the back end meanwhile, so the failure does not
		// fail the run.
		collector.Note("a target of faults", injection.err)
	}
	options.announce(MomentEnd)
	return check.Evidence{
		Records: records, Faults: injection.faults, Started: started, Answers: engineAnswers{},
	}, ctx.Err()
}

// injectionResult has the faults injected at the stand-ins.
type injectionResult struct {
	faults []history.Fault
	err    error
}

// startFaults injects the faults in the background and sends the result once.
func startFaults(ctx context.Context, options Options, collector *collect.Collector) <-chan injectionResult {
	done := make(chan injectionResult, 1)
	if len(options.Faults) == 0 {
		done <- injectionResult{}
		return done
	}
	go func() {
		faults, err := inject.Run(ctx, inject.Options{
			Kinds: options.Faults, Targets: inject.Targets(options.Platform, collector.Machines()),
			Duration: options.Duration, Seed: options.Seed,
		})
		done <- injectionResult{faults: faults, err: err}
	}()
	return done
}

// settleTime is how long the books are still read after the last request.
const settleTime = time.Second

// announceMoments announces each moment at its time.
func announceMoments(ctx context.Context, options Options, started time.Time) {
	for _, entry := range schedule {
		at := started.Add(time.Duration(entry.share * float64(options.Duration)))
		if !waitUntil(ctx, at) {
			return
		}
		options.announce(entry.moment)
	}
}

func (o Options) announce(moment Moment) {
	if o.Announce != nil {
		o.Announce(moment)
	}
}

// waitUntil returns false if the context ends before the time.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exitTimeout is how long a planned stop may last beyond the end of the load.
const exitTimeout = 10 * time.Second

// awaitExits reads the fault log until every planned stop has a logged exit code
// or exitTimeout is over.
func awaitExits(ctx context.Context, path string) ([]history.Fault, error) {
	if path == "" {
		return nil, nil
	}
	deadline := time.Now().Add(exitTimeout)
	for {
		faults, err := history.ReadFaults(path)
		if err != nil || allExited(faults) || time.Now().After(deadline) || ctx.Err() != nil {
			return faults, err
		}
		waitUntil(ctx, time.Now().Add(exitPollInterval))
	}
}

const exitPollInterval = 100 * time.Millisecond

func allExited(faults []history.Fault) bool {
	stopped, exited := 0, 0
	for _, fault := range faults {
		switch fault.Kind {
		case history.NodeStopped:
			stopped++
		case history.NodeExited:
			exited++
		}
	}
	return stopped == exited
}

// completeEvidence adds the collector's data and the logged faults to the
// evidence, and writes the history file.
func completeEvidence(ctx context.Context, evidence *check.Evidence, options Options, collector *collect.Collector) error {
	collector.Fill(evidence)
	faults, err := awaitExits(ctx, options.FaultLog)
	if err != nil {
		return err
	}
	evidence.Faults = append(evidence.Faults, faults...)
	slices.SortStableFunc(evidence.Faults, func(a, b history.Fault) int { return a.At.Compare(b.At) })
	if options.HistoryFile == "" {
		return nil
	}
	file, err := os.Create(options.HistoryFile)
	if err != nil {
		return fmt.Errorf("write the history: %w", err)
	}
	return errors.Join(history.WriteRecords(file, evidence.Records), file.Close())
}

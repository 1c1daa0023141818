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

// Options say what to run.
type Options struct {
	// Nodes are the caller addresses of the nodes.
	Nodes    []string
	Platform string
	// Operators are the operators' addresses of the nodes.
	Operators []string
	// Books are URLs of books beside those of the listed machines.
	Books    []string
	Profile  string
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Backends is how many back ends the platform must list and every node must
	// know before the load begins, Ready how long to wait for that.
	Backends int
	Ready    time.Duration
	// Faults are brought about at the stand-ins while the load runs.
	Faults []inject.Kind
	// FaultLog is where whoever else brings faults about notes them; see
	// history.ReadFaults. It may be empty.
	FaultLog string
	// HistoryFile is where the records are written, if not empty.
	HistoryFile string
	// Announce is called with the name of each moment of the scenario, Progress
	// with the numbers so far; neither may block.
	Announce func(moment Moment)
	Progress func(sent, ended int)
}

// Moment is a time in a scenario that whoever brings faults about waits for.
type Moment string

// The moments, in their order. Each asks for what its name says.
const (
	MomentStart      Moment = "start"
	MomentKillNode   Moment = "kill-node"
	MomentPauseNode  Moment = "pause-node"
	MomentKillEngine Moment = "kill-engine"
	MomentChange     Moment = "change"
	// MomentContinueNode ends the pause.
	MomentContinueNode Moment = "continue-node"
	// MomentLeaveEngine asks an engine to leave as planned.
	MomentLeaveEngine Moment = "leave-engine"
	MomentStopNode    Moment = "stop-node"
	MomentSent        Moment = "all-sent"
	MomentEnd         Moment = "end"
)

// moments are when, as a share of the duration, each moment comes.
var moments = []struct {
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

// longShare is when long streams are begun: a little before the planned stop.
const longShare = 0.62

// Run carries the scenario out and judges it.
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
	evidence, err := run(ctx, options, profile, collector)
	stop()
	collector.Finish(ctx)
	if err != nil {
		return report.Summary{}, err
	}
	evidence.Ended = time.Now()
	if err := gather(ctx, &evidence, options, collector); err != nil {
		return report.Summary{}, err
	}
	summary := report.Summarize(evidence, check.Judge(evidence, check.DefaultTolerances()))
	summary.Profile, summary.Seed = options.Profile, options.Seed
	summary.Problems = make(map[string]string)
	for what, problem := range collector.Problems() {
		summary.Problems[what] = fmt.Sprintf("%d times: %s", problem.Times, problem.Last)
	}
	return summary, nil
}

// startCollecting returns once the first sample is taken.
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

// run draws the plan and sends it.
func run(ctx context.Context, options Options, profile load.Profile, collector *collect.Collector) (check.Evidence, error) {
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
		LongAt: time.Duration(longShare * float64(options.Duration)),
	})
	announcing, stop := context.WithCancel(ctx)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		announce(announcing, options, started)
	}()
	injected := startFaults(announcing, options, collector)
	records := load.Run(ctx, plan, load.RunOptions{
		RunID: runID, Sender: load.NewClient(), Nodes: options.Nodes, Progress: options.Progress,
	})
	wait(ctx, started.Add(options.Duration+settleTime))
	stop()
	<-announced
	injection := <-injected
	if injection.err != nil {
		// A back end may have been killed meanwhile; the run is judged all the
		// same.
		collector.Note("a target of faults", injection.err)
	}
	options.tell(MomentEnd)
	return check.Evidence{
		Records: records, Faults: injection.faults, Started: started, Answers: engineAnswers{},
	}, ctx.Err()
}

// injection is what was brought about at the stand-ins.
type injection struct {
	faults []history.Fault
	err    error
}

func startFaults(ctx context.Context, options Options, collector *collect.Collector) <-chan injection {
	done := make(chan injection, 1)
	if len(options.Faults) == 0 {
		done <- injection{}
		return done
	}
	go func() {
		faults, err := inject.Run(ctx, inject.Options{
			Kinds: options.Faults, Targets: inject.Targets(options.Platform, collector.Machines()),
			Duration: options.Duration, Seed: options.Seed,
		})
		done <- injection{faults: faults, err: err}
	}()
	return done
}

// settleTime is how long after the last request the books are still followed.
const settleTime = time.Second

// announce tells each moment at its time.
func announce(ctx context.Context, options Options, started time.Time) {
	for _, entry := range moments {
		at := started.Add(time.Duration(entry.share * float64(options.Duration)))
		if !wait(ctx, at) {
			return
		}
		options.tell(entry.moment)
	}
}

func (o Options) tell(moment Moment) {
	if o.Announce != nil {
		o.Announce(moment)
	}
}

// wait returns false if the context ended before the time came.
func wait(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exitLimit is how long a planned stop may last beyond the end of the load.
const exitLimit = 10 * time.Second

// awaitExits reads the faults once every planned stop has its exit code noted,
// or the limit is over.
func awaitExits(ctx context.Context, path string) ([]history.Fault, error) {
	if path == "" {
		return nil, nil
	}
	deadline := time.Now().Add(exitLimit)
	for {
		faults, err := history.ReadFaults(path)
		if err != nil || allExited(faults) || time.Now().After(deadline) || ctx.Err() != nil {
			return faults, err
		}
		wait(ctx, time.Now().Add(exitPoll))
	}
}

const exitPoll = 100 * time.Millisecond

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

// gather adds what was seen beside the requests.
func gather(ctx context.Context, evidence *check.Evidence, options Options, collector *collect.Collector) error {
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

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/lab/batching"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
	"github.com/spanlanding/spanlanding/internal/lab/policy"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/requestpath"
)

// runners returns the runners that experiment files can refer to by name.
func runners() experiment.Registry {
	return experiment.Registry{
		batching.Name:        experiment.RunnerFunc(batching.Run),
		requestpath.Overload: experiment.RunnerFunc(requestpath.RunOverload),
		requestpath.ZoneLoss: experiment.RunnerFunc(requestpath.RunZoneLoss),
		policy.Name:          experiment.RunnerFunc(policy.Run),
	}
}

// experimentCommand returns the command that runs a matrix of runs and writes a
// report.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "run a matrix of policies, profiles, loads, faults and seeds, and report it",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out", Usage: "folder for NAME.html and NAME.csv"},
			&cli.StringFlag{Name: "compare", Usage: "CSV of an older experiment to compare with"},
			&cli.IntFlag{Name: "parallel", Value: runtime.NumCPU(), Usage: "runs side by side"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if command.Args().Len() != 1 {
		return errors.New("experiment: name one file")
	}
	file, err := experiment.ReadFile(command.Args().First())
	if err != nil {
		return err
	}
	baseline, err := readBaseline(command.String("compare"))
	if err != nil {
		return err
	}
	started := time.Now()
	progress := &runProgress{to: os.Stderr, started: started}
	result, failures := experiment.Execute(ctx, file, runners(), experiment.Options{
		Parallel: command.Int("parallel"), Progress: progress.show,
	})
	if len(result.Runs) == 0 {
		return failures
	}
	page := report.Page{
		Result: result, Took: time.Since(started).Round(time.Millisecond), Older: command.String("compare"),
		Environment: report.ThisEnvironment(started, strings.Join(os.Args, " ")),
	}
	if failures != nil {
		page.Failures = failures.Error()
	}
	if baseline != nil {
		page.Differences = experiment.Compare(baseline, result.Rows())
		printDifferences(os.Stdout, page.Differences)
	}
	failures = errors.Join(failures, result.WriteSummary(os.Stdout))
	return errors.Join(failures, writeReport(command.String("out"), page))
}

func readBaseline(path string) ([]experiment.Row, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return experiment.ReadCSV(file)
}

// writeReport writes the report as NAME.html and NAME.csv to the folder.
func writeReport(folder string, page report.Page) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	base := filepath.Join(folder, page.Result.File.Name)
	err := errors.Join(
		writeFile(base+".html", page.WriteHTML),
		writeFile(base+".csv", func(to io.Writer) error { return experiment.WriteCSV(to, page.Result.Rows()) }),
	)
	if err == nil {
		fmt.Printf("wrote %s.html and %s.csv\n", base, base)
	}
	return err
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// printDifferences lists the differences. Those whose confidence interval excludes
// zero are marked with an asterisk.
func printDifferences(to io.Writer, differences []experiment.Difference) {
	for _, difference := range differences {
		mark := " "
		if difference.Change.ExcludesZero() {
			mark = "*"
		}
		fmt.Fprintf(to, "%s %-28s %-40s %.4g -> %.4g %s, change %+.4g (%.4g to %.4g)\n",
			mark, difference.Metric, difference.Cell, difference.Old, difference.New, difference.Unit,
			difference.Change.Mean, difference.Change.Low, difference.Change.High)
	}
}

// runProgress prints a progress bar for the runs of a matrix.
type runProgress struct {
	mutex   sync.Mutex
	to      io.Writer
	started time.Time
	done    int
}

// barWidth is the width of the progress bar in characters.
const barWidth = 30

func (p *runProgress) show(done, total int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if done <= p.done {
		return
	}
	p.done = done
	filled := barWidth * done / total
	fmt.Fprintf(p.to, "\r[%s%s] %d of %d runs, %s", strings.Repeat("#", filled),
		strings.Repeat(".", barWidth-filled), done, total, time.Since(p.started).Round(time.Second))
	if done == total {
		fmt.Fprintln(p.to)
	}
}

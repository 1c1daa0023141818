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

// runners are what experiment files can name.
func runners() experiment.Registry {
	return experiment.Registry{
		batching.Name:        experiment.RunnerFunc(batching.Run),
		requestpath.Overload: experiment.RunnerFunc(requestpath.RunOverload),
		requestpath.ZoneLoss: experiment.RunnerFunc(requestpath.RunZoneLoss),
		policy.Name:          experiment.RunnerFunc(policy.Run),
	}
}

// experimentCommand runs a matrix and reports it.
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
	older, err := readOlder(command.String("compare"))
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
	if older != nil {
		page.Differences = experiment.Compare(older, result.Rows())
		printDifferences(os.Stdout, page.Differences)
	}
	failures = errors.Join(failures, result.WriteSummary(os.Stdout))
	return errors.Join(failures, writeReport(command.String("out"), page))
}

func readOlder(path string) ([]experiment.Row, error) {
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

// writeReport writes the page and the table beside each other.
func writeReport(folder string, page report.Page) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	base := filepath.Join(folder, page.Result.File.Name)
	err := errors.Join(
		writeTo(base+".html", page.WriteHTML),
		writeTo(base+".csv", func(to io.Writer) error { return experiment.WriteCSV(to, page.Result.Rows()) }),
	)
	if err == nil {
		fmt.Printf("wrote %s.html and %s.csv\n", base, base)
	}
	return err
}

func writeTo(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// printDifferences lists what changed; those whose interval excludes zero have
// a mark.
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

// runProgress shows how far the matrix is, on one line.
type runProgress struct {
	mutex   sync.Mutex
	to      io.Writer
	started time.Time
	done    int
}

// barWidth is the length of the progress bar in characters.
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

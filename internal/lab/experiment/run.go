package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Run is one run with its measurements.
type Run struct {
	Parameters   Parameters
	Measurements Measurements
}

// Result has the runs in the order of the matrix; the seed changes fastest.
type Result struct {
	File File
	Runs []Run
}

// Options configure how a matrix is run.
type Options struct {
	// Parallel limits the number of concurrent runs.
	Parallel int
	// Progress is called after each run from the goroutine of the run; it may be
	// nil.
	Progress func(done, total int)
}

// Execute runs the whole matrix. A failed run does not stop the others: the error
// joins all failures, and the result has the runs that succeeded.
func Execute(ctx context.Context, file File, registry Registry, options Options) (Result, error) {
	runner, err := registry.Find(file.Runner)
	if err != nil {
		return Result{}, err
	}
	runs := planRuns(file)
	failures := make([]error, len(runs))
	var done atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(options.Parallel, 1))
	for index := range runs {
		group.Go(func() error {
			failures[index] = execute(ctx, runner, &runs[index])
			if options.Progress != nil {
				options.Progress(int(done.Add(1)), len(runs))
			}
			return nil
		})
	}
	// The functions return no error, because the group must execute every run;
	// failures has the errors.
	_ = group.Wait()
	result := Result{File: file}
	for index, run := range runs {
		if failures[index] == nil {
			result.Runs = append(result.Runs, run)
		}
	}
	return result, errors.Join(failures...)
}

func planRuns(file File) []Run {
	var runs []Run
	for _, cell := range file.Matrix.Cells() {
		for _, seed := range file.Seeds {
			runs = append(runs, Run{Parameters: Parameters{
				Cell: cell, Seed: seed, Duration: file.Duration, Options: file.Options,
			}})
		}
	}
	return runs
}

func execute(ctx context.Context, runner Runner, run *Run) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	measurements, err := runner.Run(ctx, run.Parameters)
	if err != nil {
		return fmt.Errorf("%s seed %d: %w", run.Parameters.Cell, run.Parameters.Seed, err)
	}
	run.Measurements = measurements
	return nil
}

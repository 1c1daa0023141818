package experiment

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Run is one run with what came of it.
type Run struct {
	Parameters   Parameters
	Measurements Measurements
}

// Result has the runs in the order of the matrix, seeds changing first.
type Result struct {
	File File
	Runs []Run
}

// Options say how a matrix is run.
type Options struct {
	// Parallel bounds the runs side by side.
	Parallel int
	// Progress is called after each run from the goroutine that made it; it
	// may be nil.
	Progress func(done, total int)
}

// Execute makes all runs. A run that fails does not stop the others; the error
// has all failures, and the result the runs that did not fail.
func Execute(ctx context.Context, file File, registry Registry, options Options) (Result, error) {
	runner, err := registry.Find(file.Runner)
	if err != nil {
		return Result{}, err
	}
	runs := plannedRuns(file)
	failures := make([]error, len(runs))
	var done atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(options.Parallel, 1))
	for index := range runs {
		group.Go(func() error {
			failures[index] = runOne(ctx, runner, &runs[index])
			if options.Progress != nil {
				options.Progress(int(done.Add(1)), len(runs))
			}
			return nil
		})
	}
	// The failures are kept apart, so that every run is made.
	_ = group.Wait()
	result := Result{File: file}
	for index, run := range runs {
		if failures[index] == nil {
			result.Runs = append(result.Runs, run)
		}
	}
	return result, errors.Join(failures...)
}

func plannedRuns(file File) []Run {
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

func runOne(ctx context.Context, runner Runner, run *Run) error {
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

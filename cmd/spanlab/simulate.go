package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/sim/world"
)

// errRulesViolated makes the command fail after it has printed its report.
var errRulesViolated = errors.New("a rule was violated, or never exercised")

func simulateCommand() *cli.Command {
	standard := world.DefaultConfig()
	return &cli.Command{
		Name:  "simulate",
		Usage: "run the product's cores on a virtual clock under faults drawn from seeds",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 200, Usage: "number of seeds to run"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.BoolFlag{Name: "trace", Usage: "run the one seed and print its events"},
			&cli.IntFlag{Name: "zones", Value: standard.Zones, Usage: "zones of the fleet"},
			&cli.IntFlag{Name: "nodes", Value: standard.Nodes, Usage: "nodes of the fleet"},
			&cli.IntFlag{Name: "engines", Value: standard.Engines, Usage: "engines of the fleet"},
			&cli.DurationFlag{Name: "duration", Value: standard.Duration, Usage: "virtual time of each run"},
			&cli.IntFlag{Name: "workers", Value: runtime.NumCPU(), Usage: "runs at a time"},
			&cli.StringFlag{Name: "corpus", Value: "internal/sim/testdata/corpus", Usage: "folder for the shrunk first failure; empty for none"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			config := standard
			config.Zones = command.Int("zones")
			config.Nodes = command.Int("nodes")
			config.Engines = command.Int("engines")
			config.Duration = command.Duration("duration")
			if config.Zones < 1 || config.Nodes < config.Zones || config.Engines < config.Zones {
				return fmt.Errorf("%d zones need at least as many nodes and engines", config.Zones)
			}
			if command.Bool("trace") {
				return traceSeed(os.Stdout, config, command.Uint64("seed"))
			}
			return simulate(os.Stdout, config, batchOptions{
				first: command.Uint64("seed"), seeds: command.Int("seeds"),
				workers: command.Int("workers"), corpus: command.String("corpus"),
			})
		},
	}
}

// batchOptions describes a batch of runs as given by the flags.
type batchOptions struct {
	first   uint64
	seeds   int
	workers int
	corpus  string
}

func simulate(out io.Writer, config world.Config, batch batchOptions) error {
	started := time.Now()
	reports := world.RunBatch(config, batch.first, batch.seeds, batch.workers, progressLine(os.Stderr, batch.seeds))
	summary := sim.Summarize(reports)
	if err := summary.Write(out); err != nil {
		return err
	}
	took := time.Since(started)
	fmt.Fprintf(os.Stderr, "took=%s workers=%d seeds_per_minute=%.0f\n",
		took.Round(time.Millisecond), batch.workers, float64(batch.seeds)/took.Minutes())
	if summary.Passed() {
		return nil
	}
	if len(summary.Failed) > 0 {
		if err := reportFailure(out, config, summary.Failed[0], batch.corpus); err != nil {
			return err
		}
	}
	return errRulesViolated
}

// progressLine returns a progress function that updates one line about once for
// each hundredth of the batch.
func progressLine(out io.Writer, seeds int) func(done int) {
	step := max(1, seeds/100)
	return func(done int) {
		if done%step == 0 || done == seeds {
			fmt.Fprintf(out, "\rsimulated %d of %d seeds", done, seeds)
		}
		if done == seeds {
			fmt.Fprintln(out)
		}
	}
}

// reportFailure shrinks the fault plan of a failed run, prints it and, unless
// corpus is empty, saves it as a corpus case.
func reportFailure(out io.Writer, config world.Config, failed sim.Report, corpus string) error {
	plan := world.Shrink(config, failed)
	fmt.Fprintf(out, "shrunk seed=%d faults=%d from=%d\n", failed.Seed, len(plan), len(failed.Plan))
	for _, fault := range plan {
		fmt.Fprintf(out, "  %s\n", fault)
	}
	fmt.Fprintf(out, "replay: spanlab simulate --seed %d --trace\n", failed.Seed)
	if corpus == "" {
		return nil
	}
	path, err := world.Case{Cause: "not yet known", Config: config, Seed: failed.Seed, Faults: plan}.Write(corpus)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "written to %s\n", path)
	return nil
}

func traceSeed(out io.Writer, config world.Config, seed uint64) error {
	report := world.Run(config, seed, nil, out)
	summary := sim.Summarize([]sim.Report{report})
	if err := summary.Write(out); err != nil {
		return err
	}
	if len(summary.Failed) > 0 {
		return errRulesViolated
	}
	return nil
}

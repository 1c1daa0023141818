package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/lab/inject"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// exitRuleViolated is the exit code of a run that violated a rule, or did not
// exercise one where --every-rule asks for all.
const exitRuleViolated = 1

// loadCommand returns the command that puts load on a running system and checks
// the results against the rules.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "put open-loop load on a running system and judge it by the back ends' books",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "nodes", Usage: "caller addresses of the nodes", Required: true},
			&cli.StringSliceFlag{Name: "operators", Usage: "operators' addresses of the nodes, to watch the version in force"},
			&cli.StringFlag{Name: "platform", Usage: "URL of the platform", Required: true},
			&cli.StringSliceFlag{Name: "books", Usage: "URLs of books beside those of the listed machines"},
			&cli.StringFlag{Name: "profile", Value: "fjordkurv", Usage: "fjordkurv or holmgaard"},
			&cli.FloatFlag{Name: "rate", Value: 30, Usage: "mean requests a second of the steady traffic"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long requests are sent"},
			&cli.IntFlag{Name: "backends", Value: 1, Usage: "back ends that every node must know before the load begins"},
			&cli.DurationFlag{Name: "ready", Value: 15 * time.Second, Usage: "how long to wait for that"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals; drawn and printed if not set"},
			&cli.BoolFlag{Name: "check", Usage: "fail if a rule was broken"},
			&cli.BoolFlag{Name: "every-rule", Usage: "with --check, fail also if a rule was not exercised"},
			&cli.StringSliceFlag{Name: "faults", Usage: "faults to bring about at the stand-ins: all, none or their names"},
			&cli.StringFlag{Name: "fault-log", Usage: "file in which whoever else brings faults about notes them, one JSON object a line"},
			&cli.StringFlag{Name: "history", Usage: "file to write each request and its answer to"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	seed := command.Uint64("seed")
	if !command.IsSet("seed") {
		seed = rand.Uint64() >> 32
	}
	kinds, err := inject.ParseKinds(command.StringSlice("faults"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	printer := &progressPrinter{to: os.Stderr}
	summary, err := scenario.Run(ctx, scenario.Options{
		Nodes: command.StringSlice("nodes"), Platform: platformURL(command.String("platform")),
		Operators: command.StringSlice("operators"), Books: command.StringSlice("books"), Profile: command.String("profile"),
		Rate: command.Float("rate"), Duration: command.Duration("duration"), Seed: seed,
		Backends: command.Int("backends"), Ready: command.Duration("ready"),
		Faults: kinds, FaultLog: command.String("fault-log"), HistoryFile: command.String("history"),
		Announce: printer.printMoment, Progress: printer.printProgress,
	})
	if err != nil {
		return err
	}
	if err := printSummary(os.Stdout, summary, command.String("output")); err != nil {
		return err
	}
	if command.Bool("check") {
		return ruleViolationError(summary, command.Bool("every-rule"))
	}
	return nil
}

// platformURL converts IP:port to a URL; a URL is kept.
func platformURL(text string) string {
	text = strings.TrimSuffix(text, "/")
	if strings.Contains(text, "://") {
		return text
	}
	return "http://" + text
}

func printSummary(to io.Writer, summary report.Summary, format string) error {
	if format != "json" {
		return summary.Text(to)
	}
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summary)
}

// ruleViolationError returns an error with exit code exitRuleViolated if a rule
// was broken or, with everyRule, was not exercised.
func ruleViolationError(summary report.Summary, everyRule bool) error {
	if broken := summary.Broken(); len(broken) > 0 {
		return cli.Exit(fmt.Sprintf("rules broken: %v", broken), exitRuleViolated)
	}
	if missing := summary.NotExercised(); everyRule && len(missing) > 0 {
		return cli.Exit(fmt.Sprintf("rules not exercised: %v", missing), exitRuleViolated)
	}
	return nil
}

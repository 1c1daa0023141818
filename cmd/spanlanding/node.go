package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/node"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const (
	flagSettings = "settings"
	flagCheck    = "check"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one node of the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` (YAML)"},
			&cli.BoolFlag{Name: flagCheck, Usage: "print the settings in force and end"},
			outputFlag(),
			&cli.StringFlag{Name: "name", Usage: "the node's `NAME`, unique in the fleet"},
			&cli.StringFlag{Name: "zone", Usage: "the `ZONE` that the machine stands in"},
			&cli.StringFlag{Name: "caller", Usage: "`IP:PORT` for callers"},
			&cli.StringFlag{Name: "operator", Usage: "`IP:PORT` for operators"},
			&cli.StringFlag{Name: "peer", Usage: "`IP:PORT` (TCP) for other nodes"},
			&cli.StringFlag{Name: "gossip", Usage: "`IP:PORT` (UDP) for other nodes"},
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the object API and the machine list"},
			&cli.StringSliceFlag{Name: "seed", Usage: "gossip `IP:PORT` of another node of the zone"},
			&cli.StringSliceFlag{Name: "remote-seed", Usage: "gossip `IP:PORT` of a node of another zone"},
			&cli.DurationFlag{Name: "drain-limit", Usage: "bound on a planned stop"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error"},
		},
		Action: runNode,
	}
}

// nodeSettings reads the settings file and applies the flags, which override it.
func nodeSettings(command *cli.Command) (node.Settings, spec.Findings) {
	draft := &node.Draft{}
	if path := command.String(flagSettings); path != "" {
		draft = node.ReadSettings(path)
	}
	settings := &draft.Settings
	override := func(flag, field string, set func()) {
		if command.IsSet(flag) {
			set()
			draft.Override(field, "--"+flag)
		}
	}
	override("name", "name", func() { settings.Name = fleet.NodeName(command.String("name")) })
	override("zone", "zone", func() { settings.Zone = fleet.Zone(command.String("zone")) })
	override("caller", "listen.caller", func() { settings.Listen.Caller = command.String("caller") })
	override("operator", "listen.operator", func() { settings.Listen.Operator = command.String("operator") })
	override("peer", "listen.peer", func() { settings.Listen.Peer = command.String("peer") })
	override("gossip", "listen.gossip", func() { settings.Listen.Gossip = command.String("gossip") })
	override("platform", "platform", func() { settings.Platform = command.String("platform") })
	override("log-level", "logLevel", func() { settings.LogLevel = command.String("log-level") })
	override("seed", "seeds", func() { settings.Seeds = command.StringSlice("seed") })
	override("remote-seed", "remoteSeeds", func() { settings.RemoteSeeds = command.StringSlice("remote-seed") })
	override("drain-limit", "drainLimit", func() { settings.DrainLimit = spec.Duration(command.Duration("drain-limit")) })
	return draft.Complete()
}

// reportSettingsFindings prints the findings and returns an error if there are
// any.
func reportSettingsFindings(command *cli.Command, findings spec.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	err := output(command, validation{Findings: findings}, func(writer io.Writer) { fmt.Fprintln(writer, findings) })
	if err != nil {
		return err
	}
	return operator.ErrInvalid.New("%d findings in the settings", len(findings))
}

func runNode(_ context.Context, command *cli.Command) error {
	settings, findings := nodeSettings(command)
	if err := reportSettingsFindings(command, findings); err != nil {
		return err
	}
	if command.Bool(flagCheck) {
		return output(command, settings, func(writer io.Writer) { printSettings(writer, settings) })
	}
	logger := logging.New(os.Stderr, logging.Levels[settings.LogLevel],
		logging.Field{Key: "node", Value: string(settings.Name)},
		logging.Field{Key: "zone", Value: string(settings.Zone)})
	running, err := node.Start(settings, logger)
	if err != nil {
		return err
	}
	return serveUntilStopped(running)
}

// serveUntilStopped waits for a signal or a drain request from an operator. The
// first signal starts a graceful shutdown, a second one stops the node
// immediately.
func serveUntilStopped(running *node.Node) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	drainCtx, cancelDrain := context.WithCancel(context.Background())
	defer cancelDrain()
	select {
	case <-signals:
		go running.Drain(drainCtx)
	case <-running.Drained():
	}
	select {
	case <-signals:
		cancelDrain()
		<-running.Drained()
	case <-running.Drained():
	}
	running.Stop()
	if aborted := running.Cut(); len(aborted) > 0 {
		return fmt.Errorf("the stop cut %d requests: %v", len(aborted), aborted)
	}
	return nil
}

func printSettings(writer io.Writer, settings node.Settings) {
	row := func(name string, value any) { fmt.Fprintf(writer, "%-28s %v\n", name, value) }
	row("name", settings.Name)
	row("zone", settings.Zone)
	row("listen.caller", settings.Listen.Caller)
	row("listen.operator", settings.Listen.Operator)
	row("listen.peer", settings.Listen.Peer)
	row("listen.gossip", settings.Listen.Gossip)
	row("platform", settings.Platform)
	row("seeds", settings.Seeds)
	row("remoteSeeds", settings.RemoteSeeds)
	row("limits.maxWaiting", settings.Limits.MaxWaiting)
	row("limits.maxWaitingBytes", settings.Limits.MaxWaitingBytes)
	row("limits.maxBodyBytes", settings.Limits.MaxBodyBytes)
	row("limits.maxStreams", settings.Limits.MaxStreams)
	row("limits.hedgeAfter", settings.Limits.HedgeAfter)
	row("weightStore.loadsPerSecond", settings.WeightStore.LoadsPerSecond)
	row("weightStore.concurrentLoads", settings.WeightStore.ConcurrentLoads)
	row("probeInterval", settings.ProbeInterval)
	row("drainLimit", settings.DrainLimit)
	row("logLevel", settings.LogLevel)
}

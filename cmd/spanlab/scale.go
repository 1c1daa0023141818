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
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/lab/scale"
)

// Bounds of a scale run.
const (
	scaleProcessors  = 5
	scaleMemoryBytes = 4 << 30
	scaleSettle      = 90 * time.Second
)

// scaleCommand measures what control costs as the fleet grows.
func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure the cost of control as the fleet grows, with hollow nodes over real sockets",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "variable", Usage: "nodes, zones, engines, models, adapters, requests, commands, changes or wakes; all by default"},
			&cli.StringFlag{Name: "point", Usage: "measure one point instead, such as zones=2,nodes=50,engines=144"},
			&cli.DurationFlag{Name: "window", Value: 3 * time.Second, Usage: "how long each point is measured"},
			&cli.DurationFlag{Name: "quiet", Value: 6 * time.Second, Usage: "pause after a fleet has settled, so that what only its start costs is over"},
			&cli.IntFlag{Name: "processors", Value: scaleProcessors, Usage: "processors used at a time", Validator: positive},
			&cli.StringFlag{Name: "csv", Usage: "also write the fitted lines to this file"},
			&cli.StringFlag{Name: "profiles", Usage: "also keep each point's processor profile in this folder"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		},
		Action: runScale,
	}
}

func runScale(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	write := map[string]func(io.Writer, scale.Result) error{"text": scale.WriteText, "json": scale.WriteJSON}[command.String("output")]
	if write == nil {
		return fmt.Errorf("scale: output %q is neither text nor json", command.String("output"))
	}
	variables, err := scale.Chosen(command.StringSlice("variable"))
	if err != nil {
		return err
	}
	if text := command.String("point"); text != "" {
		point, err := scale.ParsePoint(text)
		if err != nil {
			return err
		}
		variables = []scale.Variable{point}
	}
	runtime.GOMAXPROCS(command.Int("processors"))
	started := time.Now()
	result := scale.Run(ctx, scale.Options{
		Base:      scale.Base(),
		Variables: variables,
		Timing: scale.Timing{
			Settle: scaleSettle, Quiet: command.Duration("quiet"), Begin: time.Second, Window: command.Duration("window"),
			KeepProfile: profileKeeper(command.String("profiles")),
		},
		MaximumHeapBytes: scaleMemoryBytes,
		Progress: func(done, total int, what string) {
			fmt.Fprintf(os.Stderr, "scale: fleet %d of %d, %s, %s\n", done+1, total, what, time.Since(started).Round(time.Second))
		},
	})
	err = write(os.Stdout, result)
	if path := command.String("csv"); path != "" {
		err = errors.Join(err, writeTo(path, func(to io.Writer) error { return scale.WriteCSV(to, result) }))
	}
	if len(result.Errors) > 0 {
		err = errors.Join(err, fmt.Errorf("scale: %d fleets were not measured", len(result.Errors)))
	}
	return err
}

// profileKeeper writes profiles into a folder, or is nil where there is none.
func profileKeeper(folder string) func(scale.Setup, []byte) error {
	if folder == "" {
		return nil
	}
	return func(setup scale.Setup, profile []byte) error {
		name := fmt.Sprintf("zones%d-nodes%d-engines%d-models%d-adapters%d-requests%g-commands%g-changes%g-wakes%g.pprof",
			setup.Zones, setup.NodesPerZone, setup.EnginesPerZone, setup.Models, setup.Adapters,
			setup.RequestsPerSecond, setup.CommandsPerSecond, setup.ChangesPerMinute, setup.WakesPerHour)
		return errors.Join(os.MkdirAll(folder, 0o755), os.WriteFile(filepath.Join(folder, name), profile, 0o644))
	}
}

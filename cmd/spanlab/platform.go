package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "stand in for the object API, the list of machines and the weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagListen, Usage: "IP:port", Required: true},
			&cli.FloatFlag{Name: "load-rate", Usage: "reads of checkpoints that may begin each second; 0 is without bound", Value: 3},
			&cli.IntFlag{Name: "load-concurrency", Usage: "reads of checkpoints at full speed; 0 is without bound", Value: 6},
			&cli.DurationFlag{Name: "machine-lag", Usage: "age of what the list of machines shows", Value: machines.DefaultLag},
			&cli.IntFlag{Name: "history", Usage: "changes kept for watches", Value: objects.DefaultHistory},
			&cli.Uint64Flag{Name: flagSeed, Usage: "taken for symmetry; the platform draws nothing", Value: 1},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	logger := newLogger()
	listeners, err := listen(command.String(flagListen), 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := httpdriver.NewPlatform(ctx, httpdriver.PlatformOptions{
		Weights: weights.Options{
			ReadsPerSecond: command.Float("load-rate"),
			Concurrency:    command.Int("load-concurrency"),
		},
		Machines: machines.Options{Lag: max(command.Duration("machine-lag"), time.Nanosecond)},
		History:  command.Int("history"),
	})
	server := newServer(platform.Handler())
	go serve(logger, server, listeners[0])
	logger.Info().Str("listen", listeners[0].Addr().String()).Msg("ready")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	logger.Info().Msg("stopped")
	return server.Close()
}

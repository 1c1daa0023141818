package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "stand in for plain command servers, several in one process",
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "service", Usage: "declared service that they run", Required: true},
			&cli.DurationFlag{Name: "service-time", Usage: "how long a command runs", Value: 5 * time.Millisecond},
		),
		Action: runServices,
	}
}

func runServices(ctx context.Context, command *cli.Command) error {
	listeners, err := listen(command.String(flagListen), command.Int(flagCount))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	backends := make([]simulatedBackend, len(listeners))
	for index, listener := range listeners {
		backends[index] = httpdriver.NewService(ctx, service.Options{
			ServiceTime: command.Duration("service-time"),
			Incarnation: uint64(time.Now().UnixNano()),
			Backend: fleet.Backend{
				Name:    fleet.BackendName(backendName(command.String(flagNamePrefix), index)),
				Kind:    fleet.KindService,
				Zone:    fleet.Zone(command.String(flagZone)),
				Rack:    rackFor(command.StringSlice(flagRack), index),
				Address: listener.Addr().String(),
				Service: command.String("service"),
			},
		})
	}
	return serveBackends(ctx, newLogger(), platformClient(command), listeners, backends)
}

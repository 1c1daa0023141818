package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show members, leaders, replicas and queues as one node knows them",
		Flags:  []cli.Flag{outputFlag(), nodeFlag(), timeoutFlag(defaultTimeout)},
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	status, err := newNodeClient(command.String(flagNode)).Status(ctx)
	if err != nil {
		return err
	}
	return output(command, status, func(writer io.Writer) { operator.RenderStatus(writer, status) })
}

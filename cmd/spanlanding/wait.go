package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
)

const (
	defaultWait = 5 * time.Second
	flagVersion = "version"
)

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "return when every live node has a version in force; ends with 6 where that takes too long",
		Flags: []cli.Flag{
			outputFlag(), nodeFlag(), timeoutFlag(defaultWait),
			&cli.Uint64Flag{Name: flagVersion, Usage: "`N` as apply printed it", Required: true},
		},
		Action: runWait,
	}
}

func runWait(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	dial := func(address string) operator.VersionSource { return newNodeClient(address) }
	result, waitErr := operator.Wait(ctx, dial(command.String(flagNode)), dial, command.Uint64(flagVersion))
	if err := output(command, result, func(writer io.Writer) { operator.RenderWait(writer, result) }); err != nil {
		return err
	}
	return waitErr
}

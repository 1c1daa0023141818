package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "begin the planned stop of a node",
		ArgsUsage: "NODE, a member's name or its operators' IP:port",
		Flags:     []cli.Flag{outputFlag(), &cli.StringFlag{Name: flagNode, Usage: "operators' `ADDRESS` of a node to look the name up at", Sources: cli.EnvVars("SPANLANDING_NODE")}, timeoutFlag(defaultTimeout)},
		Action:    runDrain,
	}
}

func runDrain(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	name := command.Args().First()
	if name == "" {
		return operator.ErrUsage.New("drain: name the node")
	}
	address, err := drainAddress(ctx, command, name)
	if err != nil {
		return err
	}
	report, err := newNodeClient(address).Drain(ctx)
	if err != nil {
		return err
	}
	return output(command, report, func(writer io.Writer) { fmt.Fprintf(writer, "%s drains\n", report.Node) })
}

// drainAddress returns the operator address of the node. A member name is looked
// up at the node given by --node.
func drainAddress(ctx context.Context, command *cli.Command, name string) (string, error) {
	if operator.IsAddress(name) {
		return name, nil
	}
	lookup := command.String(flagNode)
	if lookup == "" {
		return "", operator.ErrUsage.New("drain: %q is no IP:port; pass --%s to look the name up", name, flagNode)
	}
	dial := func(address string) operator.VersionSource { return newNodeClient(address) }
	return operator.FindOperatorAddress(ctx, dial(lookup), dial, name)
}

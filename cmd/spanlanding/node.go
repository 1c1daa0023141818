package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one node of the fleet",
		Action: func(context.Context, *cli.Command) error {
			return errors.New("node: not built yet")
		},
	}
}

package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change; ends with 7 where something differs",
		ArgsUsage: "FOLDER or FILES",
		Flags:     planFlags(outputFlag()),
		Action:    runDiff,
	}
}

func runDiff(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	store := openStore(command.String(flagPlatform))
	plan, err := makePlan(ctx, command, store)
	if err != nil {
		return err
	}
	differences := operator.Differences(plan)
	err = output(command, differences, func(writer io.Writer) { operator.RenderDifferences(writer, differences) })
	if err != nil || len(differences) == 0 {
		return err
	}
	return operator.ErrDifferent.New("%d objects differ", len(differences))
}

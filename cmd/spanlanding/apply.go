package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const (
	flagBy       = "by"
	flagOwner    = "owner"
	flagPrune    = "prune"
	flagTakeOver = "take-over"
)

func planFlags(format cli.Flag) []cli.Flag {
	return []cli.Flag{
		format, platformFlag(), serverMemoryFlag(), zonesFlag(), timeoutFlag(defaultApplyTimeout),
		&cli.StringFlag{Name: flagOwner, Usage: "`NAME` of the set of declarations; default is the folder's name"},
		&cli.BoolFlag{Name: flagPrune, Usage: "delete the set's objects that are no longer declared"},
		&cli.BoolFlag{Name: flagTakeOver, Usage: "change also objects that belong to another set"},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "bring the store to what is declared",
		ArgsUsage: "FOLDER or FILES",
		Flags: append(planFlags(outputFlag(outputVersion)),
			&cli.StringFlag{Name: flagBy, Usage: "`NAME` recorded with each change; default is the user's name", Sources: cli.EnvVars("SPANLANDING_BY")}),
		Action: runApply,
	}
}

func runApply(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	store := openStore(command.String(flagPlatform))
	plan, err := makePlan(ctx, command, store)
	if err != nil {
		return err
	}
	writer := operator.Writer{By: writerName(command), RunID: rand.Text()}
	result, applyErr := operator.Apply(ctx, store, plan, writer)
	text := func(writer io.Writer) { operator.RenderApply(writer, result) }
	if command.String(flagOutput) == outputVersion {
		text = func(writer io.Writer) { fmt.Fprintln(writer, result.Version) }
	}
	if err := output(command, result, text); err != nil {
		return err
	}
	return applyErr
}

// makePlan validates the declarations and compares them with the store.
func makePlan(ctx context.Context, command *cli.Command, store operator.Store) (operator.Plan, error) {
	set, findings, err := loadDeclarations(command)
	if err != nil {
		return operator.Plan{}, err
	}
	if err := reportValidation(command, set, findings, false); err != nil {
		return operator.Plan{}, err
	}
	owner, err := ownerName(command)
	if err != nil {
		return operator.Plan{}, err
	}
	listed, err := store.List(ctx, "")
	if err != nil {
		return operator.Plan{}, errorx.Decorate(err, "the store did not list its objects; nothing was changed")
	}
	return operator.NewPlan(set.Objects(), listed.Objects, operator.PlanOptions{
		Owner: owner, Prune: command.Bool(flagPrune), TakeOver: command.Bool(flagTakeOver),
	})
}

func ownerName(command *cli.Command) (string, error) {
	name := command.String(flagOwner)
	if name == "" {
		absolute, err := filepath.Abs(command.Args().First())
		if err != nil {
			return "", err
		}
		if info, err := os.Stat(absolute); err == nil && !info.IsDir() {
			absolute = filepath.Dir(absolute)
		}
		name = filepath.Base(absolute)
	}
	if !spec.ValidLabel(name) {
		return "", operator.ErrUsage.New("%q cannot name a set; give --%s with letters, digits and ._-", name, flagOwner)
	}
	return name, nil
}

func writerName(command *cli.Command) string {
	if name := command.String(flagBy); name != "" {
		return name
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unnamed"
}

package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/platform"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show objects of the store",
		ArgsUsage: "[KIND [NAME]]",
		Flags:     []cli.Flag{outputFlag(), platformFlag(), timeoutFlag(defaultTimeout)},
		Action:    runGet,
	}
}

func runGet(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	store, err := openStore(command.String(flagPlatform))
	if err != nil {
		return err
	}
	kind, name := command.Args().Get(0), command.Args().Get(1)
	if name != "" {
		return getOne(ctx, command, store, platform.Key{Kind: kind, Name: name})
	}
	listed, err := store.List(ctx)
	if err != nil {
		return operator.ErrUnreachable.Wrap(err, "the store did not list its objects")
	}
	listed.Objects = operator.OfKind(listed.Objects, kind)
	return output(command, listed, func(writer io.Writer) { operator.RenderObjects(writer, listed) })
}

func getOne(ctx context.Context, command *cli.Command, store operator.Store, key platform.Key) error {
	object, found, err := store.Get(ctx, key)
	if err != nil {
		return operator.ErrUnreachable.Wrap(err, "the store did not answer")
	}
	if !found {
		return operator.ErrNotFound.New("no %s %q in the store", key.Kind, key.Name)
	}
	return output(command, object, func(writer io.Writer) { operator.RenderObject(writer, object) })
}

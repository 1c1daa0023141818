package main

import (
	"context"
	"io"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
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
	store := openStore(command.String(flagPlatform))
	kind, name := command.Args().Get(0), command.Args().Get(1)
	if name != "" {
		return getObject(ctx, command, store, objectstore.Key{Kind: kind, Name: name})
	}
	listed, err := store.List(ctx, "")
	if err != nil {
		return errorx.Decorate(err, "the store did not list its objects")
	}
	listed.Objects = operator.OfKind(listed.Objects, kind)
	return output(command, listed, func(writer io.Writer) { operator.RenderObjects(writer, listed) })
}

func getObject(ctx context.Context, command *cli.Command, store operator.Store, key objectstore.Key) error {
	object, err := store.Get(ctx, key)
	if errorx.IsOfType(err, objectstore.NotFound) {
		return operator.ErrNotFound.New("no %s %q in the store", key.Kind, key.Name)
	}
	if err != nil {
		return errorx.Decorate(err, "the store did not answer")
	}
	return output(command, object, func(writer io.Writer) { operator.RenderObject(writer, object) })
}

// Command spanlanding runs a node of the fleet (node, edge) and the operator
// commands: validate, diff, apply and get for declarations; status, wait, drain
// and bars for a running fleet; explain for logs. See README.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/hangup"
	"github.com/spanlanding/spanlanding/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newApp().Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "spanlanding: "+operator.Message(err))
	}
	os.Exit(int(operator.CodeOf(err)))
}

func newApp() *cli.Command {
	app := &cli.Command{
		Name:                  "spanlanding",
		Usage:                 "serve rarely used language models, run by declarations",
		Description:           exitCodes,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			nodeCommand(),
			edgeCommand(),
			explainCommand(),
			validateCommand(),
			diffCommand(),
			applyCommand(),
			getCommand(),
			statusCommand(),
			waitCommand(),
			drainCommand(),
			barsCommand(),
		},
		Action: unknownCommand,
		// main prints the error and sets the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, command := range append(app.Commands, app) {
		command.OnUsageError = usageError
	}
	for _, command := range app.Commands {
		if command.Name != edgeCommandName {
			command.Before = releaseHangups
		}
	}
	return app
}

// releaseHangups lets a hangup end a command that has no settings to reload.
func releaseHangups(ctx context.Context, _ *cli.Command) (context.Context, error) {
	hangup.Release()
	return ctx, nil
}

func usageError(_ context.Context, command *cli.Command, err error, _ bool) error {
	return operator.ErrUsage.Wrap(err, "%s (see %s --help)", command.Name, command.FullName())
}

func unknownCommand(_ context.Context, command *cli.Command) error {
	if name := command.Args().First(); name != "" {
		return operator.ErrUsage.New("no command %q (see spanlanding --help)", name)
	}
	return cli.ShowRootCommandHelp(command)
}

const exitCodes = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid declarations or
settings, 4 another operator's change won, 5 no answer from store or node,
6 wait timed out, 7 diff found differences, 8 no such object.`

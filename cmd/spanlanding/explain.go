package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/explain"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// explainCommand tells a request's way, or what was believed of a server, from
// the logs of several nodes.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what became of a request, or what was believed of a server",
		ArgsUsage: "ID [LOG FILE...]",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				return operator.ErrUsage.New("explain wants the identity of a request or a server")
			}
			entries, err := readLogs(command.Args().Tail())
			if err != nil {
				return err
			}
			if !explain.Explain(os.Stdout, command.Args().First(), entries) {
				return operator.ErrNotFound.New("no line names %s", command.Args().First())
			}
			return nil
		},
	}
}

// readLogs reads the files, or standard input where there are none.
func readLogs(files []string) ([]explain.Entry, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var entries []explain.Entry
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, operator.ErrUsage.Wrap(err, "open the log")
		}
		read, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, operator.ErrUsage.Wrap(err, "read %s", name)
		}
		entries = append(entries, read...)
	}
	return entries, nil
}

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/explain"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// explainCommand tells a request's way, or what was believed of a server, from
// the logs of several nodes; or what all their requests were lost by.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from logs what became of a request, or what was believed of a server",
		ArgsUsage: "ID [LOG FILE...] | --losses [LOG FILE...]",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "losses", Usage: "print a table of the requests that were not served in time, by kind, reason and when"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Bool("losses") {
				return printLosses(command.Args().Slice())
			}
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

// printLosses prints what the requests of the logs were lost by.
func printLosses(files []string) error {
	losses := explain.NewLosses()
	if err := scanLogs(files, losses.Take); err != nil {
		return err
	}
	return losses.Print(os.Stdout)
}

// readLogs reads the files, or standard input where there are none.
func readLogs(files []string) ([]explain.Entry, error) {
	var entries []explain.Entry
	err := scanLogs(files, func(entry explain.Entry) { entries = append(entries, entry) })
	return entries, err
}

// scanLogs hands over the entries of the files, or of standard input where there
// are none.
func scanLogs(files []string, take func(explain.Entry)) error {
	if len(files) == 0 {
		return explain.Scan(os.Stdin, take)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return operator.ErrUsage.Wrap(err, "open the log")
		}
		err = explain.Scan(file, take)
		_ = file.Close()
		if err != nil {
			return operator.ErrUsage.Wrap(err, "read %s", name)
		}
	}
	return nil
}

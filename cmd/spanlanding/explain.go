package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/explain"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// explainCommand reconstructs from the logs of several nodes how a request was
// handled or what the nodes knew about a server. With --losses it prints why
// requests were not served in time.
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

// printLosses prints a table of why requests in the logs were not served in time.
func printLosses(files []string) error {
	losses := explain.NewLosses()
	if err := scanLogs(files, losses.Take); err != nil {
		return err
	}
	return losses.Print(os.Stdout)
}

// readLogs reads the files, or standard input if there are none.
func readLogs(files []string) ([]explain.Entry, error) {
	var entries []explain.Entry
	err := scanLogs(files, func(entry explain.Entry) { entries = append(entries, entry) })
	return entries, err
}

// scanLogs calls visit for each entry of the files, or of standard input if there
// are none.
func scanLogs(files []string, visit func(explain.Entry)) error {
	if len(files) == 0 {
		return explain.Scan(os.Stdin, visit)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return operator.ErrUsage.Wrap(err, "open the log")
		}
		err = explain.Scan(file, visit)
		_ = file.Close()
		if err != nil {
			return operator.ErrUsage.Wrap(err, "read %s", name)
		}
	}
	return nil
}

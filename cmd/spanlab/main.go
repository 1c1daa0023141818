// Command spanlab runs simulated external systems (platform, engine, service) and
// the tools that test against them: load puts load on a running system,
// experiment runs a matrix of policies and loads, simulate runs the cores on a
// virtual clock. See README.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name:  "spanlab",
		Usage: "stand-ins of the outside systems, load and experiments for spanlanding",
		Commands: []*cli.Command{
			platformCommand(),
			engineCommand(),
			serviceCommand(),
			loadCommand(),
			experimentCommand(),
			simulateCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "spanlab:", err)
		os.Exit(1)
	}
}

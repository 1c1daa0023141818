package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const (
	outputText = "text"
	outputJSON = "json"
	// outputVersion prints only the store version that includes the changes of
	// apply.
	outputVersion = "version"

	// defaultTimeout applies to commands without a default of their own.
	defaultTimeout = 10 * time.Second
	// defaultApplyTimeout allows for writing many objects to a slow store.
	defaultApplyTimeout = 30 * time.Second

	flagOutput       = "output"
	flagPlatform     = "platform"
	flagNode         = "node"
	flagServerMemory = "server-memory"
	flagZones        = "zones"
	flagTimeout      = "timeout"
)

// outputFlag returns the flag for the output format: text, json, or one of the
// command's extra formats.
func outputFlag(extraFormats ...string) cli.Flag {
	formats := append([]string{outputText, outputJSON}, extraFormats...)
	return &cli.StringFlag{
		Name: flagOutput, Aliases: []string{"o"}, Value: outputText, Usage: strings.Join(formats, ", "),
		Validator: func(value string) error {
			if !slices.Contains(formats, value) {
				return errors.New("give one of " + strings.Join(formats, ", "))
			}
			return nil
		},
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagPlatform, Usage: "`URL` of the platform's object API", Required: true,
		Sources: cli.EnvVars("SPANLANDING_PLATFORM"),
	}
}

func nodeFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagNode, Usage: "operators' `ADDRESS` (IP:port) of a node", Required: true,
		Sources: cli.EnvVars("SPANLANDING_NODE"),
	}
}

func timeoutFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: value, Usage: "give up after this long"}
}

func serverMemoryFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagServerMemory, Usage: "accelerator memory of the largest server, such as 48GiB; what fits none is reported",
		Validator: func(value string) error {
			_, err := spec.ParseBytes(value)
			return err
		},
	}
}

func zonesFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: flagZones, Usage: "`NAMES` of the fleet's zones, such as oslo-a,oslo-b; an evacuation of another zone is reported",
	}
}

// loadDeclarations reads and validates the declarations at the paths given as
// arguments.
func loadDeclarations(command *cli.Command) (spec.Set, spec.Findings, error) {
	paths := command.Args().Slice()
	if len(paths) == 0 {
		return spec.Set{}, nil, operator.ErrUsage.New("%s: name a folder or files with declarations", command.Name)
	}
	options := spec.Options{Zones: command.StringSlice(flagZones)}
	if text := command.String(flagServerMemory); text != "" {
		memory, err := spec.ParseBytes(text)
		if err != nil {
			return spec.Set{}, nil, operator.ErrUsage.Wrap(err, "--%s", flagServerMemory)
		}
		options.ServerMemory = memory
	}
	set, findings := options.Load(paths)
	return set, findings, nil
}

func newNodeClient(address string) *operator.NodeClient {
	return operator.NewNodeClient(address, http.DefaultClient)
}

// output prints the value as JSON if --output says so, else as text.
func output(command *cli.Command, value any, text func(io.Writer)) error {
	writer := command.Root().Writer
	if command.String(flagOutput) != outputJSON {
		text(writer)
		return nil
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

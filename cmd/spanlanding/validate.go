package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check declarations; needs no server",
		ArgsUsage: "FOLDER or FILES",
		Flags:     []cli.Flag{outputFlag(), serverMemoryFlag(), zonesFlag()},
		Action:    runValidate,
	}
}

// validation is the result of the validate command in JSON.
type validation struct {
	Valid    bool          `json:"valid"`
	Objects  int           `json:"objects"`
	Findings spec.Findings `json:"findings"`
}

func runValidate(_ context.Context, command *cli.Command) error {
	set, findings, err := loadDeclarations(command)
	if err != nil {
		return err
	}
	return reportValidation(command, set, findings, true)
}

// reportValidation prints findings and returns an error if there are any. Without
// findings it prints the result only if printIfValid is set.
func reportValidation(command *cli.Command, set spec.Set, findings spec.Findings, printIfValid bool) error {
	if len(findings) == 0 && !printIfValid {
		return nil
	}
	report := validation{Valid: len(findings) == 0, Objects: len(set.Objects()), Findings: findings}
	if report.Findings == nil {
		report.Findings = spec.Findings{}
	}
	err := output(command, report, func(writer io.Writer) {
		for _, finding := range findings {
			fmt.Fprintln(writer, finding)
		}
		if report.Valid {
			fmt.Fprintf(writer, "%d objects are valid\n", report.Objects)
		}
	})
	if err != nil || report.Valid {
		return err
	}
	return operator.ErrInvalid.New("%d findings; nothing was applied", len(findings))
}

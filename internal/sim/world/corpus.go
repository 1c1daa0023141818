package world

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spanlanding/spanlanding/internal/sim"
)

// Case is one file of the corpus: a run that once violated a rule and is kept
// as a regression test.
type Case struct {
	// Cause describes the fault that was found, for the reader.
	Cause  string   `json:"cause"`
	Config Config   `json:"config"`
	Seed   uint64   `json:"seed"`
	Faults sim.Plan `json:"faults"`
}

// Run replays the case.
func (c Case) Run() sim.Report {
	plan := c.Faults
	if plan == nil {
		plan = sim.Plan{}
	}
	return Run(c.Config, c.Seed, plan, nil)
}

// ReadCase reads a corpus file.
func ReadCase(path string) (Case, error) {
	var read Case
	raw, err := os.ReadFile(path)
	if err != nil {
		return read, err
	}
	if err := json.Unmarshal(raw, &read); err != nil {
		return read, fmt.Errorf("%s: %w", path, err)
	}
	return read, nil
}

// Write writes the case to a file in the folder and returns its path.
func (c Case) Write(folder string) (string, error) {
	raw, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(folder, fmt.Sprintf("seed-%d.json", c.Seed))
	return path, os.WriteFile(path, append(raw, '\n'), 0o644)
}

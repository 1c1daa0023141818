package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Config describes a simulated fleet: its size, the duration of the run and the
// planted defects. It is stored in corpus files, so it holds plain data only.
type Config struct {
	Zones int `json:"zones"`
	// Nodes and Engines are totals for the fleet, spread evenly over the zones.
	Nodes   int `json:"nodes"`
	Engines int `json:"engines"`
	// EngineMemory is each engine's accelerator memory in bytes.
	EngineMemory int64 `json:"engineMemory"`
	// Duration is the length of the run in virtual time.
	Duration time.Duration `json:"duration"`
	// Defects are deliberate bugs in the cores; only tests set them.
	Defects Defects `json:"defects,omitzero"`
}

// Defects holds the deliberate bugs of each core. Tests enable one to show that
// the simulation detects it.
type Defects struct {
	Membership membership.Defects `json:"membership,omitzero"`
	Config     configsync.Defects `json:"config,omitzero"`
	Control    control.Defects    `json:"control,omitzero"`
	Engine     engine.Defects     `json:"engine,omitzero"`
	Queue      queue.Defects      `json:"queue,omitzero"`
	Routing    routing.Defects    `json:"routing,omitzero"`
	Attempt    attempt.Defects    `json:"attempt,omitzero"`
	Node       NodeDefects        `json:"node,omitzero"`
}

// NodeDefects are deliberate bugs in the code that connects the cores of a node.
type NodeDefects struct {
	// CutAtDrain completes a planned stop while requests are still in progress.
	CutAtDrain bool `json:"cutAtDrain,omitempty"`
}

// DefaultConfig returns the fleet for which the performance target of 1,000
// seeds per minute is defined.
func DefaultConfig() Config {
	return Config{Zones: 3, Nodes: 12, Engines: 9, EngineMemory: 80 * engine.GiB, Duration: 5 * time.Minute}
}

const (
	// faultsFrom is the earliest fault; before it the fleet can start
	// undisturbed.
	faultsFrom = 15 * time.Second
	// settleTime is the fault-free period at the end of a run, in which
	// everything that must happen within a bounded time has to happen.
	settleTime = 90 * time.Second
)

// faultsUntil returns the time by which all drawn faults have ended.
func (c Config) faultsUntil() time.Duration {
	return max(faultsFrom, c.Duration-settleTime)
}

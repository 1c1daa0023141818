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

// Config is the size of a simulated fleet and what is planted in it. It is
// part of a corpus file, so it holds data only.
type Config struct {
	Zones int `json:"zones"`
	// Nodes and Engines are numbers of the whole fleet, spread over the zones.
	Nodes   int `json:"nodes"`
	Engines int `json:"engines"`
	// EngineMemory is each engine's accelerator memory in bytes.
	EngineMemory int64 `json:"engineMemory"`
	// Duration is the virtual time of the run.
	Duration time.Duration `json:"duration"`
	// Defects are set by tests only: faults planted in the cores.
	Defects Defects `json:"defects,omitzero"`
}

// Defects are the planted faults of each core.
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

// NodeDefects are planted in what joins the cores of a node.
type NodeDefects struct {
	// CutAtDrain ends a planned stop with requests in progress.
	CutAtDrain bool `json:"cutAtDrain,omitempty"`
}

// DefaultConfig is the fleet that the aim of a thousand seeds a minute names.
func DefaultConfig() Config {
	return Config{Zones: 3, Nodes: 12, Engines: 9, EngineMemory: 80 * engine.GiB, Duration: 5 * time.Minute}
}

const (
	// faultsFrom leaves the fleet time to start.
	faultsFrom = 15 * time.Second
	// settleTime is the end of the run without faults, in which what must
	// happen within bounded time has to happen.
	settleTime = 90 * time.Second
)

// faultsUntil is when the last fault ends.
func (c Config) faultsUntil() time.Duration {
	return max(faultsFrom, c.Duration-settleTime)
}

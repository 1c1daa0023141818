package scale

import (
	"context"
	"runtime/pprof"
	"time"

	"github.com/spanlanding/spanlanding/internal/node"
)

// Timing are the lengths of a point.
type Timing struct {
	// Settle bounds the start of a fleet.
	Settle time.Duration
	// Quiet goes between the settling of a fleet and its first point, so that
	// what only a start costs is over.
	Quiet time.Duration
	// Begin goes between the start of a load and the window.
	Begin  time.Duration
	Window time.Duration
	// KeepProfile is given the processor profile of each window; it may be nil.
	KeepProfile func(setup Setup, profile []byte) error
}

// hollowFleet is a whole fleet in this process.
type hollowFleet struct {
	setup   Setup
	timing  Timing
	outside *standIns
	nodes   []hollow
	// heapBefore is what the process held before the nodes started.
	heapBefore uint64
	// settledSeconds went by until the fleet had settled.
	settledSeconds float64
}

// measureFleet starts a fleet of the size and measures it under each load. Of
// the loads only what they put on the fleet is taken.
func measureFleet(ctx context.Context, size Setup, loads []Setup, timing Timing) (map[Setup]Measurement, error) {
	measured := make(map[Setup]Measurement)
	var err error
	pprof.Do(ctx, pprof.Labels(node.ProfileNode, standInLabel), func(ctx context.Context) {
		var fleet *hollowFleet
		fleet, err = startFleet(ctx, size, timing)
		if err != nil {
			return
		}
		defer fleet.stop()
		sleep(ctx, timing.Quiet)
		for _, setup := range loads {
			if err == nil {
				measured[setup], err = fleet.measure(ctx, setup)
			}
		}
	})
	return measured, err
}

func startFleet(ctx context.Context, size Setup, timing Timing) (*hollowFleet, error) {
	begun := time.Now()
	outside, err := startStandIns(ctx, size)
	if err != nil {
		return nil, err
	}
	created := &hollowFleet{setup: size, timing: timing, outside: outside}
	version, err := outside.declare(ctx, size)
	if err == nil {
		created.heapBefore = heapBytes()
		created.nodes, err = startNodes(size, outside.url)
	}
	if err == nil {
		settling, cancel := context.WithTimeout(ctx, timing.Settle)
		defer cancel()
		err = awaitSettled(settling, size, created.nodes, version)
	}
	if err != nil {
		created.stop()
		return nil, err
	}
	created.settledSeconds = time.Since(begun).Seconds()
	return created, nil
}

func (f *hollowFleet) stop() {
	stopNodes(f.nodes)
	f.outside.stop()
}

// measure puts the setup's load on the fleet and measures for the window.
func (f *hollowFleet) measure(ctx context.Context, setup Setup) (Measurement, error) {
	heap := float64(heapBytes()-f.heapBefore) / float64(len(f.nodes)) / 1024
	load := startLoad(ctx, setup, f.outside, f.nodes)
	defer load.stop()
	if setup != setup.size() {
		sleep(ctx, f.timing.Begin)
	}
	measured, err := window(ctx, setup, f.nodes, rolesOf(ctx, f.outside, f.nodes), f.timing)
	if err != nil {
		return Measurement{}, err
	}
	measured.Load = load.stop()
	measured.SettledSeconds = f.settledSeconds
	for role := range measured.Roles {
		measured.Roles[role][FigureHeap] = heap
	}
	if measured.Load.Changes > 0 {
		measured.Roles[RoleRouter][FigureInForce] = measured.Load.InForceMillis
	}
	return measured, ctx.Err()
}

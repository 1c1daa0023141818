package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// residentModel is a model in accelerator memory.
type residentModel struct {
	model           fleet.ModelVersion
	state           fleet.LoadState
	bytes           int64
	checkpointBytes int64
	load            LoadID
	// fetching is set while the weight store reads for the load.
	fetching bool
	// changeAt is when the state changes by itself; zero for none.
	changeAt time.Time
	// dieAt is when the engine dies by a fault during the load.
	dieAt      time.Time
	readySince time.Time
	adapters   []*residentAdapter // sorted by name
	// accepted counts requests that run or wait, running those that run.
	accepted  int
	running   int
	busySince time.Time
	residency int
}

type residentAdapter struct {
	name  fleet.AdapterName
	bytes int64
	// readyAt is zero once the adapter is ready.
	readyAt time.Time
}

func compareAdapters(one, other *residentAdapter) int {
	return cmp.Compare(one.name, other.name)
}

func (m *residentModel) totalBytes() int64 {
	total := m.bytes
	for _, adapter := range m.adapters {
		total += adapter.bytes
	}
	return total
}

func (m *residentModel) adapter(name fleet.AdapterName) *residentAdapter {
	for _, adapter := range m.adapters {
		if adapter.name == name {
			return adapter
		}
	}
	return nil
}

// serves reports whether a request with the adapter can be accepted.
func (m *residentModel) serves(name fleet.AdapterName) bool {
	if m.state != fleet.LoadReady {
		return false
	}
	if name == "" {
		return true
	}
	adapter := m.adapter(name)
	return adapter != nil && adapter.readyAt.IsZero()
}

func (m *residentModel) wake() time.Time {
	wake := earliest(m.changeAt, m.dieAt)
	for _, adapter := range m.adapters {
		wake = earliest(wake, adapter.readyAt)
	}
	return wake
}

func (m *residentModel) public() fleet.LoadedModel {
	loaded := fleet.LoadedModel{
		Model:      m.model,
		State:      m.state,
		Bytes:      m.totalBytes(),
		ReadySince: m.readySince,
	}
	for _, adapter := range m.adapters {
		if adapter.readyAt.IsZero() {
			loaded.Adapters = append(loaded.Adapters, adapter.name)
		}
	}
	return loaded
}

func (m *residentModel) startRunning(now time.Time) {
	if m.running == 0 {
		m.busySince = now
	}
	m.running++
}

func (m *residentModel) stopRunning(now time.Time, residency *books.Residency) {
	m.running--
	if m.running == 0 {
		residency.BusySeconds += now.Sub(m.busySince).Seconds()
	}
}

func (m *residentModel) stopBusy(now time.Time, residency *books.Residency) {
	if m.running > 0 {
		residency.BusySeconds += now.Sub(m.busySince).Seconds()
	}
	m.running = 0
}

func (c *Core) find(model fleet.ModelVersion) *residentModel {
	index, found := c.position(model)
	if !found {
		return nil
	}
	return c.models[index]
}

func (c *Core) position(model fleet.ModelVersion) (int, bool) {
	return slices.BinarySearchFunc(c.models, model, func(held *residentModel, wanted fleet.ModelVersion) int {
		return held.model.Compare(wanted)
	})
}

func (c *Core) beginLoad(now time.Time, order backend.Order) {
	c.nextID++
	model := &residentModel{
		model:           order.Model,
		state:           fleet.LoadLoading,
		bytes:           order.Bytes,
		checkpointBytes: max(order.CheckpointBytes, 0),
		load:            c.nextID,
		residency:       c.openResidency(now, order),
	}
	if c.faults.DieInLoad > 0 {
		model.dieAt = now.Add(c.faults.DieInLoad)
	}
	index, _ := c.position(order.Model)
	c.models = slices.Insert(c.models, index, model)
	c.notePeak()
	c.readCheckpoint(now, model)
}

func (c *Core) readCheckpoint(now time.Time, model *residentModel) {
	timing := c.options.Timing
	switch c.tiers.tier(model.model) {
	case fleet.TierMemory:
		c.finishLoadAt(model, now.Add(scaled(timing.HostLoad, model.checkpointBytes)))
	case fleet.TierDisk:
		c.finishLoadAt(model, now.Add(scaled(timing.DiskLoad, model.checkpointBytes)))
	default:
		model.fetching = true
		c.emit(FetchWeights{
			Load:      model.load,
			Model:     model.model,
			Bytes:     model.checkpointBytes,
			FullSpeed: scaled(timing.RemoteLoad, model.checkpointBytes),
		})
	}
}

func (c *Core) finishLoadAt(model *residentModel, at time.Time) {
	if c.faults.StuckLoads {
		return
	}
	model.changeAt = at
}

// weightsDone ends the read of a load; a failed one is asked for again, since
// only an order ends a load.
func (c *Core) weightsDone(now time.Time, message WeightsDone) {
	for _, model := range c.models {
		if model.load != message.Load || !model.fetching {
			continue
		}
		model.fetching = false
		if message.Failed {
			c.readCheckpoint(now, model)
			return
		}
		c.finishLoadAt(model, now)
		return
	}
}

// beginUnload cancels a load; a ready model first ends what it has accepted.
func (c *Core) beginUnload(now time.Time, model *residentModel) {
	if model.fetching {
		model.fetching = false
		c.emit(CancelFetch{Load: model.load})
	}
	model.state = fleet.LoadUnloading
	model.changeAt, model.dieAt = time.Time{}, time.Time{}
	c.releaseWhenIdle(now, model)
}

func (c *Core) releaseWhenIdle(now time.Time, model *residentModel) {
	if model.state == fleet.LoadUnloading && model.accepted == 0 {
		model.changeAt = now.Add(c.options.Timing.Unload)
	}
}

func (c *Core) advanceModels(at time.Time) {
	for _, model := range slices.Clone(c.models) {
		if due(model.dieAt, at) {
			c.restart(at)
			return
		}
		for _, adapter := range model.adapters {
			if due(adapter.readyAt, at) {
				adapter.readyAt = time.Time{}
			}
		}
		if due(model.changeAt, at) {
			model.changeAt = time.Time{}
			c.changeState(at, model)
		}
	}
}

func (c *Core) changeState(at time.Time, model *residentModel) {
	switch model.state {
	case fleet.LoadLoading:
		model.state = fleet.LoadReady
		model.readySince = at
		model.dieAt = time.Time{}
		c.book.Residencies[model.residency].ReadyAt = at
		c.tiers.add(model.model, model.checkpointBytes)
	case fleet.LoadUnloading:
		c.closeResidency(at, model)
		index, _ := c.position(model.model)
		c.models = slices.Delete(c.models, index, index+1)
	case fleet.LoadReady:
	}
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}

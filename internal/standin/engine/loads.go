package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// residentModel is a model that occupies accelerator memory: loading, ready or
// unloading.
type residentModel struct {
	model           fleet.ModelVersion
	state           fleet.LoadState
	bytes           int64
	checkpointBytes int64
	load            LoadID
	// fetching is true while a weight store read for the load is in progress.
	fetching bool
	// changeAt is the time of the next state change, or zero if none is
	// scheduled.
	changeAt time.Time
	// crashAt is when an injected fault restarts the engine during the load.
	crashAt    time.Time
	readySince time.Time
	adapters   []*residentAdapter // sorted by name
	// accepted counts the running and waiting requests, running only the
	// running ones.
	accepted       int
	running        int
	busySince      time.Time
	residencyIndex int
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

// serves reports whether the model accepts requests for the adapter; an empty
// name means the base model.
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
	wake := earliest(m.changeAt, m.crashAt)
	for _, adapter := range m.adapters {
		wake = earliest(wake, adapter.readyAt)
	}
	return wake
}

// loadedModel returns the model's entry in the engine's state.
func (m *residentModel) loadedModel() fleet.LoadedModel {
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

func (m *residentModel) stopAllRunning(now time.Time, residency *books.Residency) {
	if m.running > 0 {
		residency.BusySeconds += now.Sub(m.busySince).Seconds()
	}
	m.running = 0
}

func (c *Core) findModel(model fleet.ModelVersion) *residentModel {
	index, found := c.modelIndex(model)
	if !found {
		return nil
	}
	return c.models[index]
}

func (c *Core) modelIndex(model fleet.ModelVersion) (int, bool) {
	return slices.BinarySearchFunc(c.models, model, func(resident *residentModel, wanted fleet.ModelVersion) int {
		return resident.model.Compare(wanted)
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
		residencyIndex:  c.openResidency(now, order),
	}
	if c.faults.DieInLoad > 0 {
		model.crashAt = now.Add(c.faults.DieInLoad)
	}
	index, _ := c.modelIndex(order.Model)
	c.models = slices.Insert(c.models, index, model)
	c.recordPeak()
	c.startCheckpointRead(now, model)
}

// startCheckpointRead starts to read a checkpoint from the fastest tier that holds
// it.
func (c *Core) startCheckpointRead(now time.Time, model *residentModel) {
	timing := c.options.Timing
	switch c.checkpoints.tier(model.model) {
	case fleet.TierMemory:
		c.finishLoadAt(model, now.Add(scaledLoadTime(timing.HostLoad, model.checkpointBytes)))
	case fleet.TierDisk:
		c.finishLoadAt(model, now.Add(scaledLoadTime(timing.DiskLoad, model.checkpointBytes)))
	default:
		model.fetching = true
		c.emit(FetchWeights{
			Load:      model.load,
			Model:     model.model,
			Bytes:     model.checkpointBytes,
			FullSpeed: scaledLoadTime(timing.RemoteLoad, model.checkpointBytes),
		})
	}
}

func (c *Core) finishLoadAt(model *residentModel, at time.Time) {
	if c.faults.StuckLoads {
		return
	}
	model.changeAt = at
}

// weightsDone handles the end of a weight store read. A failed read is retried,
// because only an order may end a load.
func (c *Core) weightsDone(now time.Time, message WeightsDone) {
	for _, model := range c.models {
		if model.load != message.Load || !model.fetching {
			continue
		}
		model.fetching = false
		if message.Failed {
			c.startCheckpointRead(now, model)
			return
		}
		c.finishLoadAt(model, now)
		return
	}
}

// beginUnload cancels a load in progress. A ready model is released only after
// its accepted requests have ended.
func (c *Core) beginUnload(now time.Time, model *residentModel) {
	if model.fetching {
		model.fetching = false
		c.emit(CancelFetch{Load: model.load})
	}
	model.state = fleet.LoadUnloading
	model.changeAt, model.crashAt = time.Time{}, time.Time{}
	c.unloadWhenIdle(now, model)
}

func (c *Core) unloadWhenIdle(now time.Time, model *residentModel) {
	if model.state == fleet.LoadUnloading && model.accepted == 0 {
		model.changeAt = now.Add(c.options.Timing.Unload)
	}
}

func (c *Core) advanceModels(at time.Time) {
	for _, model := range slices.Clone(c.models) {
		if isDue(model.crashAt, at) {
			c.restart(at)
			return
		}
		for _, adapter := range model.adapters {
			if isDue(adapter.readyAt, at) {
				adapter.readyAt = time.Time{}
			}
		}
		if isDue(model.changeAt, at) {
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
		model.crashAt = time.Time{}
		c.book.Residencies[model.residencyIndex].ReadyAt = at
		c.checkpoints.add(model.model, model.checkpointBytes)
	case fleet.LoadUnloading:
		c.closeResidency(at, model)
		index, _ := c.modelIndex(model.model)
		c.models = slices.Delete(c.models, index, index+1)
	case fleet.LoadReady:
	}
}

func isDue(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}

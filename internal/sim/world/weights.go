package world

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

const (
	weightReadsPerSecond = 3
	weightConcurrency    = 6
	// slowWeightsFactor multiplies the time of each read of a slow weight store.
	slowWeightsFactor = 10
)

// weightsProcess is the platform's weight store: the stand-in's model. Zone cuts
// do not affect reads; the fault weight-store-slow stands for them.
type weightsProcess struct {
	world   *World
	process *sim.Process
	core    *weights.Core
	waker   *sim.Waker
}

func newWeightsProcess(world *World) *weightsProcess {
	store := &weightsProcess{world: world, core: weights.New(weights.Options{
		ReadsPerSecond: weightReadsPerSecond, Concurrency: weightConcurrency,
	})}
	store.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name: "weights", Zone: platformZone, Start: func(uint64) {},
	})
	store.waker = sim.NewWaker(store.process, func() { store.step(weights.Tick{}) })
	return store
}

func (w *weightsProcess) step(message weights.Message) {
	for _, done := range w.core.Step(w.process.Now(), message) {
		w.done(done.ID)
	}
	w.waker.Set(w.core.NextWake())
}

func readID(reader *engineProcess, load engine.LoadID) string {
	return fmt.Sprintf("%s/%d", reader.backend.Name, load)
}

func (w *weightsProcess) read(reader *engineProcess, fetch engine.FetchWeights) {
	w.step(weights.Read{ID: readID(reader, fetch.Load), FullSpeed: fetch.FullSpeed})
}

func (w *weightsProcess) cancel(reader *engineProcess, cancelled engine.CancelFetch) {
	w.step(weights.Cancel{ID: readID(reader, cancelled.Load)})
}

func (w *weightsProcess) done(id string) {
	address, number, _ := strings.Cut(id, "/")
	load, err := strconv.ParseUint(number, 10, 64)
	reader := w.world.engineAt(address)
	if err != nil || reader == nil {
		panic(fmt.Sprintf("world: invalid weight read ID %q", id))
	}
	boot := reader.process.Boot()
	w.world.scheduler.After(0, func() {
		reader.process.Do(boot, func() { reader.step(engine.WeightsDone{Load: engine.LoadID(load)}) })
	})
}

func (w *weightsProcess) slow() func() {
	w.step(weights.Slow{Factor: slowWeightsFactor})
	return func() { w.step(weights.Slow{Factor: 1}) }
}

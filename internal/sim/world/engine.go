package world

import (
	"fmt"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	engineKVReserve = 16 * engine.GiB
	// remoteLoad is shorter than in production, so that a run contains many
	// loads.
	remoteLoad = 2 * time.Second
	// iterationBase is longer than in production, because each iteration costs
	// an event.
	iterationBase = 50 * time.Millisecond
)

// engineProcess runs the stand-in's model of an engine.
type engineProcess struct {
	world   *World
	process *sim.Process
	backend fleet.Backend
	core    *engine.Core
	waker   *sim.Waker
	// faults are the faults currently enabled in the model.
	faults engine.Faults

	lastCall engine.CallID
	replies  map[engine.CallID]func(any)
	// readers are the links that receive the engine's streams, by call.
	readers map[engine.CallID]*link
}

func newEngineProcess(world *World, index int) *engineProcess {
	name := fmt.Sprintf("engine%02d", index+1)
	created := &engineProcess{world: world, replies: make(map[engine.CallID]func(any)), readers: make(map[engine.CallID]*link), backend: fleet.Backend{
		Name:    fleet.BackendName(name),
		Kind:    fleet.KindEngine,
		Zone:    world.zoneOf(index),
		Rack:    fmt.Sprintf("rack%d", index%2),
		Address: name,
	}}
	created.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name:  name,
		Zone:  string(created.backend.Zone),
		Clock: drawClock(world.streams.Stream("clock/" + name)),
		Start: created.start,
	})
	created.waker = sim.NewWaker(created.process, func() { created.step(engine.Tick{}) })
	created.core = engine.New(engine.Options{
		Backend:        created.backend,
		Incarnation:    1,
		MemoryBytes:    world.config.EngineMemory,
		KVReserveBytes: engineKVReserve,
		Timing:         engine.Timing{RemoteLoad: remoteLoad, IterationBase: iterationBase},
		Seed:           world.streams.Stream("engine/" + name).Uint64(),
		Defects:        world.config.Defects.Engine,
	})
	return created
}

// start is called at each boot. When the process dies, the model loses all its
// state except its books, the log that the checker reads.
func (e *engineProcess) start(uint64) {
	e.process.OnDeath(func() {
		e.step(engine.Restart{})
		clear(e.replies)
		clear(e.readers)
	})
	e.waker.Set(e.core.NextWake())
}

// call steps the model with a message; reply receives the effect that answers
// it.
func (e *engineProcess) call(message func(engine.CallID) engine.Message, reply func(any)) {
	e.lastCall++
	e.replies[e.lastCall] = reply
	e.step(message(e.lastCall))
}

func (e *engineProcess) step(message engine.Message) {
	effects := e.core.Step(e.process.Now(), message)
	e.applyArmedFaults(message, effects)
	if order, taken := message.(engine.TakeOrder); taken {
		e.world.checker.orderAnswered(e, order.Order, effects)
	}
	for _, effect := range effects {
		e.perform(effect)
	}
	e.waker.Set(e.core.NextWake())
}

// applyArmedFaults applies armed faults when the engine has granted a claim or
// accepted a load order.
func (e *engineProcess) applyArmedFaults(message engine.Message, effects []engine.Effect) {
	granted := slices.ContainsFunc(effects, func(effect engine.Effect) bool {
		_, found := effect.(engine.StateRead)
		return found
	})
	if !granted {
		return
	}
	switch message := message.(type) {
	case engine.TakeClaim:
		if _, found := e.world.takeArmed(faultDieAtGrant, e.backend.Zone); found {
			e.world.restartAfter(e, 0)
		}
	case engine.TakeOrder:
		if message.Order.Action != backend.ActionLoad {
			return
		}
		if fault, found := e.world.takeArmed(faultDieInLoad, e.backend.Zone); found {
			e.world.restartAfter(e, fault.For)
		}
	}
}

func (e *engineProcess) perform(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.StateRead:
		e.reply(effect.Call, effect)
	case engine.FenceRefused:
		e.reply(effect.Call, effect)
	case engine.OrderRefused:
		e.reply(effect.Call, effect)
	case engine.FetchWeights:
		e.world.weights.read(e, effect)
	case engine.CancelFetch:
		e.world.weights.cancel(e, effect)
	case engine.Cancelled:
		delete(e.replies, effect.Call)
	case engine.Emit, engine.Broken, engine.Refused:
		e.performStream(effect)
	}
}

func (e *engineProcess) reply(call engine.CallID, answer engine.Effect) {
	if reply, found := e.replies[call]; found {
		delete(e.replies, call)
		reply(answer)
	}
}

func (e *engineProcess) machine() objectstore.Machine {
	state := objectstore.MachineLive
	if e.core.Leaving() {
		state = objectstore.MachineLeaving
	}
	return objectstore.Machine{
		Role: "engine", Name: string(e.backend.Name), Zone: e.backend.Zone, Rack: e.backend.Rack,
		State: state, Address: e.backend.Address,
	}
}

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/views"
)

// configDependencies are what the configuration shell works with.
type configDependencies struct {
	Self     fleet.Member
	Platform *objectstore.Client
	Peers    *peer.Pool
	Views    *views.Views
	Logger   *log.Logger
	// Changed is told of objects as they change, the system's own records and
	// tombstones included. It must not block. It may be nil.
	Changed func(version uint64, changed []objectstore.Object)
	// Options tune the core; Self and Seed are set by the shell.
	Options configsync.Options
}

// configActor feeds the configuration core of a node and carries out its
// effects. It writes the views Catalog and Machines.
type configActor struct {
	dependencies configDependencies
	core         *configsync.Core
	root         *actor.RootContext
	self         *actor.PID

	lifetime context.Context
	end      context.CancelFunc
	// stopReading ends the list or watch under way.
	stopReading context.CancelFunc
	wake        *time.Timer

	storeOutage   outage
	machineOutage outage

	lastCall      uint64
	pushAnswers   map[uint64]chan<- uint64
	digestAnswers map[uint64]chan<- configsync.DigestAnswer

	compiler  *catalog.Compiler
	compiling bool
	// pending are the changes since the last compilation began; outdated is
	// set also where only the version in force moved.
	pending  []objectstore.Object
	outdated bool
	encoder  pushEncoder
}

// pushCall is a peer's push with where its answer goes.
type pushCall struct {
	from   fleet.NodeName
	push   configsync.Push
	answer chan<- uint64
}

// digestCall is a peer's digest with where its answer goes.
type digestCall struct {
	from   fleet.NodeName
	digest configsync.Digest
	answer chan<- configsync.DigestAnswer
}

// compiled is the outcome of a compilation.
type compiled struct {
	snapshot *catalog.Snapshot
	problems []catalog.Problem
	took     time.Duration
}

func newConfigActor(dependencies configDependencies) *configActor {
	options := dependencies.Options
	options.Self = dependencies.Self
	options.Seed = rand.Uint64()
	lifetime, end := context.WithCancel(context.Background())
	return &configActor{
		dependencies:  dependencies,
		core:          configsync.New(options),
		lifetime:      lifetime,
		end:           end,
		stopReading:   func() {},
		pushAnswers:   make(map[uint64]chan<- uint64),
		digestAnswers: make(map[uint64]chan<- configsync.DigestAnswer),
		compiler:      catalog.NewCompiler(),
	}
}

// spawnConfig starts the shell and returns its process and the service that it
// offers to peers.
func spawnConfig(system *actor.ActorSystem, dependencies configDependencies) (*actor.PID, *configService) {
	shell := newConfigActor(dependencies)
	process := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return shell },
		inPart(dependencies.Self.Name, partConfig)))
	dependencies.Views.Members.Watch(func(members []fleet.Member) {
		system.Root.Send(process, configsync.MembersChanged{Members: members})
	})
	return process, &configService{root: system.Root, process: process}
}

// Receive implements actor.Actor.
func (a *configActor) Receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case *actor.Started:
		a.root = ctx.ActorSystem().Root
		a.self = ctx.Self()
		a.step(configsync.Tick{})
	case *actor.Stopping:
		a.stop()
	case configsync.Message:
		a.step(message)
	case pushCall:
		call := a.nextCall()
		a.pushAnswers[call] = message.answer
		a.step(configsync.PushReceived{Call: call, From: message.from, Push: message.push})
		delete(a.pushAnswers, call)
	case digestCall:
		call := a.nextCall()
		a.digestAnswers[call] = message.answer
		a.step(configsync.DigestReceived{Call: call, From: message.from, Digest: message.digest})
		delete(a.digestAnswers, call)
	case compiled:
		a.publish(message)
	}
}

func (a *configActor) nextCall() uint64 {
	a.lastCall++
	return a.lastCall
}

func (a *configActor) stop() {
	a.end()
	if a.wake != nil {
		a.wake.Stop()
	}
}

func (a *configActor) step(message configsync.Message) {
	for _, effect := range a.core.Step(time.Now(), message) {
		a.perform(effect)
	}
	a.scheduleWake()
}

func (a *configActor) scheduleWake() {
	if a.wake != nil {
		a.wake.Stop()
	}
	next := a.core.NextWake()
	if next.IsZero() {
		return
	}
	a.wake = time.AfterFunc(max(0, time.Until(next)), func() { a.send(configsync.Tick{}) })
}

func (a *configActor) send(message any) {
	a.root.Send(a.self, message)
}

func (a *configActor) perform(effect configsync.Effect) {
	switch effect := effect.(type) {
	case configsync.ListStore:
		a.startReading(func(ctx context.Context) { a.list(ctx, effect) })
	case configsync.WatchStore:
		a.startReading(func(ctx context.Context) { a.watch(ctx, effect) })
	case configsync.StopReading:
		a.stopReading()
	case configsync.ListMachines:
		go a.listMachines()
	case configsync.SendPush:
		request := a.encoder.encode(a.dependencies.Self.Name, effect.Push)
		go a.push(effect.To, request)
	case configsync.SendDigest:
		go a.digest(effect)
	case configsync.AnswerPush:
		a.pushAnswers[effect.Call] <- effect.Version
	case configsync.AnswerDigest:
		a.digestAnswers[effect.Call] <- effect.Answer
	case configsync.ObjectsUpdated:
		a.updated(effect)
	case configsync.MachinesUpdated:
		a.dependencies.Views.Machines.Set(effect.List)
	case configsync.StoreBehind, configsync.PeerDiverged, configsync.ReaderChanged:
		a.report(effect)
	}
}

func (a *configActor) report(effect configsync.Effect) {
	logger := a.dependencies.Logger
	switch effect := effect.(type) {
	case configsync.StoreBehind:
		logger.Warn().Uint64("store", effect.Store).Uint64("held", effect.Held).Msg("store_behind")
	case configsync.PeerDiverged:
		logger.Warn().Str("peer", string(effect.Peer)).Uint64("version", effect.Version).Msg("config_diverged")
	case configsync.ReaderChanged:
		logger.Info().Bool("reader", effect.Reader).Msg("store_reader_changed")
	}
}

func (a *configActor) updated(effect configsync.ObjectsUpdated) {
	if a.dependencies.Changed != nil {
		a.dependencies.Changed(effect.Version, effect.Changed)
	}
	a.pending = append(a.pending, effect.Changed...)
	a.outdated = true
	a.compile()
}

// compile runs beside the mailbox, one at a time, so that many changes in a
// row cost few compilations. The compiler belongs to the one that runs.
func (a *configActor) compile() {
	version, loaded := a.core.Version()
	if a.compiling || !a.outdated || !loaded {
		return
	}
	a.compiling = true
	a.outdated = false
	changed := a.pending
	a.pending = nil
	go func() {
		started := time.Now()
		a.compiler.Apply(changed)
		snapshot, problems := a.compiler.Snapshot(version)
		a.send(compiled{snapshot: snapshot, problems: problems, took: time.Since(started)})
	}()
}

func (a *configActor) publish(result compiled) {
	a.compiling = false
	logger := a.dependencies.Logger
	for _, problem := range result.problems {
		logger.Warn().Str("kind", problem.Object.Kind).Str("name", problem.Object.Name).
			Uint64("version", problem.Version).Str("reason", problem.Reason).Msg("object_left_out")
	}
	a.dependencies.Views.Catalog.Set(result.snapshot)
	logger.Info().Uint64("version", result.snapshot.Version()).
		Dur("compile", result.took).Int("problems", len(result.problems)).Msg("config_in_force")
	a.compile()
}

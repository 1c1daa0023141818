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

// configDependencies is what the configuration shell needs.
type configDependencies struct {
	Self     fleet.Member
	Platform *objectstore.Client
	Peers    *peer.Pool
	Views    *views.Views
	Logger   *log.Logger
	// OnChanged is called with objects as they change, including the system's own records
	// and tombstones. It must not block. It may be nil.
	OnChanged func(version uint64, changed []objectstore.Object)
	// Options configures the core; Self and Seed are set by the shell.
	Options configsync.Options
}

// configActor is the actor that runs the node's configuration core and performs its effects.
// It writes the views Catalog and Machines.
type configActor struct {
	dependencies configDependencies
	core         *configsync.Core
	root         *actor.RootContext
	self         *actor.PID

	lifetime context.Context
	cancel   context.CancelFunc
	// cancelRead cancels the running list or watch.
	cancelRead context.CancelFunc
	wakeTimer  *time.Timer

	storeOutage   outage
	machineOutage outage

	lastCall      uint64
	pushAnswers   map[uint64]chan<- uint64
	digestAnswers map[uint64]chan<- configsync.DigestAnswer

	compiler  *catalog.Compiler
	compiling bool
	// pending holds the changes since the last compilation began. needsCompile
	// is also set when only the version in force has moved.
	pending      []objectstore.Object
	needsCompile bool
	encoder      pushEncoder
}

// pushCall is a peer's push and the channel for its answer.
type pushCall struct {
	from   fleet.NodeName
	push   configsync.Push
	answer chan<- uint64
}

// digestCall is a peer's digest and the channel for its answer.
type digestCall struct {
	from   fleet.NodeName
	digest configsync.Digest
	answer chan<- configsync.DigestAnswer
}

// compileResult is the outcome of a compilation.
type compileResult struct {
	snapshot *catalog.Snapshot
	problems []catalog.Problem
	took     time.Duration
}

func newConfigActor(dependencies configDependencies) *configActor {
	options := dependencies.Options
	options.Self = dependencies.Self
	options.Seed = rand.Uint64()
	lifetime, cancel := context.WithCancel(context.Background())
	return &configActor{
		dependencies:  dependencies,
		core:          configsync.New(options),
		lifetime:      lifetime,
		cancel:        cancel,
		cancelRead:    func() {},
		pushAnswers:   make(map[uint64]chan<- uint64),
		digestAnswers: make(map[uint64]chan<- configsync.DigestAnswer),
		compiler:      catalog.NewCompiler(),
	}
}

// spawnConfig starts the shell and returns its actor and the service that it offers to
// peers.
func spawnConfig(system *actor.ActorSystem, dependencies configDependencies) (*actor.PID, *configService) {
	shell := newConfigActor(dependencies)
	process := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return shell },
		withProfileLabels(dependencies.Self.Name, partConfig)))
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
	case compileResult:
		a.publish(message)
	}
}

func (a *configActor) nextCall() uint64 {
	a.lastCall++
	return a.lastCall
}

func (a *configActor) stop() {
	a.cancel()
	if a.wakeTimer != nil {
		a.wakeTimer.Stop()
	}
}

func (a *configActor) step(message configsync.Message) {
	for _, effect := range a.core.Step(time.Now(), message) {
		a.perform(effect)
	}
	a.scheduleWake()
}

func (a *configActor) scheduleWake() {
	if a.wakeTimer != nil {
		a.wakeTimer.Stop()
	}
	next := a.core.NextWake()
	if next.IsZero() {
		return
	}
	a.wakeTimer = time.AfterFunc(max(0, time.Until(next)), func() { a.send(configsync.Tick{}) })
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
		a.cancelRead()
	case configsync.ListMachines:
		go a.listMachines()
	case configsync.SendPush:
		request := a.encoder.encode(a.dependencies.Self.Name, effect.Push)
		go a.sendPush(effect.To, request)
	case configsync.SendDigest:
		go a.sendDigest(effect)
	case configsync.AnswerPush:
		a.pushAnswers[effect.Call] <- effect.Version
	case configsync.AnswerDigest:
		a.digestAnswers[effect.Call] <- effect.Answer
	case configsync.ObjectsUpdated:
		a.handleObjectsUpdated(effect)
	case configsync.MachinesUpdated:
		a.dependencies.Views.Machines.Set(effect.List)
	case configsync.StoreBehind, configsync.PeerDiverged, configsync.ReaderChanged:
		a.logEffect(effect)
	}
}

func (a *configActor) logEffect(effect configsync.Effect) {
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

func (a *configActor) handleObjectsUpdated(effect configsync.ObjectsUpdated) {
	if a.dependencies.OnChanged != nil {
		a.dependencies.OnChanged(effect.Version, effect.Changed)
	}
	a.pending = append(a.pending, effect.Changed...)
	a.needsCompile = true
	a.compile()
}

// compile compiles the pending changes in a goroutine outside the mailbox, one compilation
// at a time, so that a burst of changes costs few compilations. The running goroutine owns
// the compiler.
func (a *configActor) compile() {
	version, loaded := a.core.Version()
	if a.compiling || !a.needsCompile || !loaded {
		return
	}
	a.compiling = true
	a.needsCompile = false
	changed := a.pending
	a.pending = nil
	go func() {
		started := time.Now()
		a.compiler.Apply(changed)
		snapshot, problems := a.compiler.Snapshot(version)
		a.send(compileResult{snapshot: snapshot, problems: problems, took: time.Since(started)})
	}()
}

func (a *configActor) publish(result compileResult) {
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

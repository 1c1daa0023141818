package node

import (
	"context"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/views"
)

// EngineClient is the part of the engine API that the control shell uses.
type EngineClient interface {
	State(ctx context.Context, address string) (fleet.EngineState, error)
	Claim(ctx context.Context, address string, claim backend.Claim) (fleet.EngineState, error)
	Order(ctx context.Context, address string, order backend.Order) (fleet.EngineState, error)
}

// RecordStore reads and writes the record of allotments in the store.
type RecordStore interface {
	// Read returns the object, or false if the store has none.
	Read(ctx context.Context) (objectstore.Object, bool, error)
	// Write writes by compare-and-set. It returns the object that is now stored, and whether
	// a concurrent change made the write fail. After an error the outcome is unknown.
	Write(ctx context.Context, object objectstore.Object, expected uint64) (standing objectstore.Object, conflict bool, err error)
}

// ControlDependencies is what the control shell needs.
type ControlDependencies struct {
	System  *actor.ActorSystem
	Self    fleet.Member
	Views   *views.Views
	Peers   *peer.Pool
	Engines EngineClient
	Store   RecordStore
	Logger  *log.Logger
	// Registerer registers the shell's metrics; if nil they stay unregistered.
	Registerer prometheus.Registerer
	// Core configures the core; Self, Zone and BootID are set from Self.
	Core control.Options
	// CatalogMessage converts a catalog to the message for the core.
	CatalogMessage func(*catalog.Snapshot) control.CatalogChanged
}

// Control runs the control core of a node. It serves peerpb.Control to peers and implements
// fleet.DemandReporter for the node.
type Control struct {
	dependencies ControlDependencies
	core         *control.Core
	metrics      *controlMetrics
	pid          *actor.PID
	lifetime     context.Context
	cancel       context.CancelFunc
	timer        *time.Timer

	mutex     sync.Mutex
	onRefusal []func([]fleet.LoadRefusal)
}

var _ fleet.DemandReporter = (*Control)(nil)

// query is a message that runs a function in the actor, for calls that need an answer.
type query struct {
	run func(*Control)
}

// StartControl spawns the actor and subscribes it to the views.
func StartControl(dependencies ControlDependencies) *Control {
	options := dependencies.Core
	options.Self = dependencies.Self.Name
	options.Zone = dependencies.Self.Zone
	options.BootID = dependencies.Self.BootID
	lifetime, cancel := context.WithCancel(context.Background())
	shell := &Control{
		dependencies: dependencies,
		core:         control.New(options),
		metrics:      newControlMetrics(dependencies.Registerer),
		lifetime:     lifetime,
		cancel:       cancel,
	}
	props := actor.PropsFromFunc(shell.receive, withProfileLabels(dependencies.Self.Name, partControl))
	spawn(dependencies.System, props, func(pid *actor.PID) { shell.pid = pid })
	shell.subscribe()
	return shell
}

func (s *Control) subscribe() {
	s.dependencies.Views.Members.Watch(func(members []fleet.Member) {
		s.send(control.MembersChanged{Members: members})
	})
	s.dependencies.Views.Machines.Watch(func(list objectstore.MachineList) {
		s.send(control.MachinesChanged{List: list})
	})
	s.dependencies.Views.Catalog.Watch(func(snapshot *catalog.Snapshot) {
		s.send(s.dependencies.CatalogMessage(snapshot))
	})
}

// ObjectChanged passes on the record of allotments when configuration sync delivers it.
// Other objects are ignored.
func (s *Control) ObjectChanged(object objectstore.Object) {
	if object.Kind != objectstore.KindAllotments || object.Deleted {
		return
	}
	record, err := decodeRecord(object)
	if err != nil {
		s.logFailure("record_unreadable", err)
		return
	}
	s.send(control.AllotmentsChanged{VersionedRecord: record})
}

// Report implements fleet.DemandReporter.
func (s *Control) Report(wants []fleet.Want) {
	s.send(control.WantsReported{From: s.dependencies.Self.Name, Wants: wants})
}

// OnRefusal implements fleet.DemandReporter.
func (s *Control) OnRefusal(handler func([]fleet.LoadRefusal)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onRefusal = append(s.onRefusal, handler)
}

// BackendLeaving broadcasts that a back end has announced that it is leaving.
func (s *Control) BackendLeaving(name fleet.BackendName) {
	s.send(control.LeavingNoticeReceived{Backends: []fleet.BackendName{name}})
}

// HandOver hands the leadership to another node, for a planned stop.
func (s *Control) HandOver() { s.send(control.StopRequested{}) }

// Stop ends the actor and cancels the running calls.
func (s *Control) Stop() {
	s.cancel()
	_ = s.dependencies.System.Root.StopFuture(s.pid).Wait()
}

func (s *Control) send(message any) {
	s.dependencies.System.Root.Send(s.pid, message)
}

func (s *Control) receive(ctx actor.Context) {
	switch message := ctx.Message().(type) {
	case *actor.Started:
		s.step(control.Tick{})
	case *actor.Stopping:
		if s.timer != nil {
			s.timer.Stop()
		}
	case query:
		message.run(s)
	case control.Message:
		s.step(message)
	}
}

// step feeds the core one message and performs its effects. It returns the refusals for
// other nodes, by node.
func (s *Control) step(message control.Message) map[fleet.NodeName][]fleet.LoadRefusal {
	refusals := make(map[fleet.NodeName][]fleet.LoadRefusal)
	for _, effect := range s.core.Step(time.Now(), message) {
		if refused, found := effect.(control.RefuseWants); found && refused.Node != s.dependencies.Self.Name {
			refusals[refused.Node] = refused.Refusals
			continue
		}
		s.perform(effect)
	}
	s.scheduleWake()
	return refusals
}

func (s *Control) scheduleWake() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(max(0, time.Until(s.core.NextWake())), func() { s.send(control.Tick{}) })
}

func (s *Control) notifyRefusals(refusals []fleet.LoadRefusal) {
	s.metrics.refusedWants.Add(float64(len(refusals)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, handler := range s.onRefusal {
		handler(refusals)
	}
}

// logFailure logs a warning event with an error. Callers pass a constant event name.
func (s *Control) logFailure(event string, err error) {
	s.dependencies.Logger.Warn().Err(err).Msg(event)
}

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

// EngineClient is what the control shell needs of engines.
type EngineClient interface {
	State(ctx context.Context, address string) (fleet.EngineState, error)
	Claim(ctx context.Context, address string, claim backend.Claim) (fleet.EngineState, error)
	Order(ctx context.Context, address string, order backend.Order) (fleet.EngineState, error)
}

// RecordStore reads and writes the record of allotments in the store.
type RecordStore interface {
	// Read returns the object, or false where the store says there is none.
	Read(ctx context.Context) (objectstore.Object, bool, error)
	// Write writes by compare-and-set. It returns the object that stands and
	// whether another change came first; an error means that the outcome is
	// not known.
	Write(ctx context.Context, object objectstore.Object, expected uint64) (standing objectstore.Object, conflict bool, err error)
}

// ControlDependencies are what the control shell works with.
type ControlDependencies struct {
	System  *actor.ActorSystem
	Self    fleet.Member
	Views   *views.Views
	Peers   *peer.Pool
	Engines EngineClient
	Store   RecordStore
	Logger  *log.Logger
	// Registerer takes the shell's figures; nil keeps them unregistered.
	Registerer prometheus.Registerer
	// Core sets up the core; Self, Zone and BootID are set from Self.
	Core control.Options
	// Facts turns a catalog into what the core takes of it.
	Facts func(*catalog.Snapshot) control.CatalogChanged
}

// Control runs the control core of a node. It serves peerpb.Control to peers
// and fleet.Demand to the node.
type Control struct {
	dependencies ControlDependencies
	core         *control.Core
	metrics      *controlMetrics
	pid          *actor.PID
	lifetime     context.Context
	end          context.CancelFunc
	timer        *time.Timer

	mutex     sync.Mutex
	onRefusal []func([]fleet.LoadRefusal)
}

var _ fleet.DemandReporter = (*Control)(nil)

// query runs a function in the actor, for calls that want an answer.
type query struct {
	run func(*Control)
}

// StartControl spawns the actor and subscribes it to the views.
func StartControl(dependencies ControlDependencies) *Control {
	options := dependencies.Core
	options.Self = dependencies.Self.Name
	options.Zone = dependencies.Self.Zone
	options.BootID = dependencies.Self.BootID
	lifetime, end := context.WithCancel(context.Background())
	shell := &Control{
		dependencies: dependencies,
		core:         control.New(options),
		metrics:      newControlMetrics(dependencies.Registerer),
		lifetime:     lifetime,
		end:          end,
	}
	props := actor.PropsFromFunc(shell.receive, inPart(dependencies.Self.Name, partControl))
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
		s.send(s.dependencies.Facts(snapshot))
	})
}

// ObjectChanged takes the record of allotments as the configuration spreads
// it; other objects are ignored.
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

// Report implements fleet.Demand.
func (s *Control) Report(wants []fleet.Want) {
	s.send(control.WantsReported{From: s.dependencies.Self.Name, Wants: wants})
}

// OnRefusal implements fleet.Demand.
func (s *Control) OnRefusal(told func([]fleet.LoadRefusal)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onRefusal = append(s.onRefusal, told)
}

// BackendLeaving spreads that a back end said that it goes away.
func (s *Control) BackendLeaving(name fleet.BackendName) {
	s.send(control.LeavingNoticeReceived{Backends: []fleet.BackendName{name}})
}

// HandOver gives the leadership away, for a planned stop.
func (s *Control) HandOver() { s.send(control.StopRequested{}) }

// Stop ends the actor and the calls under way.
func (s *Control) Stop() {
	s.end()
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

// step feeds the core and carries out its effects; it returns the refusals
// that go to other nodes.
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

func (s *Control) refuseLocal(refusals []fleet.LoadRefusal) {
	s.metrics.refusedWants.Add(float64(len(refusals)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, told := range s.onRefusal {
		told(refusals)
	}
}

// logFailure logs an event that tells of an error; its name is fixed at each
// place that calls it.
func (s *Control) logFailure(event string, err error) {
	s.dependencies.Logger.Warn().Err(err).Msg(event)
}

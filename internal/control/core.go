package control

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Core is the control core of one node. It is not safe for concurrent use.
type Core struct {
	options   Options
	random    *rand.Rand
	leader    *leadership.Core
	placement *placement.Core

	members map[fleet.NodeName]fleet.Member
	// usable are the usable members of each zone by rank.
	usable       map[fleet.Zone][]fleet.Member
	machines     objectstore.MachineList
	machineIndex machineIndex
	models       []catalog.ModelInfo
	places       locality.Map

	record   VersionedRecord
	decider  deciderState
	standing candidacy
	polls    pollState
	tables   tableState
	wants    wantState
	leaving  leavingState
	evacuees evacuationState
	gone     goneState

	now time.Time
	// placed is set once placement was stepped in this step.
	placed  bool
	effects []Effect
}

// New returns the core of a node that knows nothing yet.
func New(options Options) *Core {
	holder := uint16(xxhash.Sum64String(string(options.Self)) ^ options.BootID)
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.BootID)),
		leader: leadership.New(leadership.Options{
			Self:     options.Self,
			Zone:     options.Zone,
			Settings: options.Settings.Leadership,
			Holder:   holder,
			Defects: leadership.Defects{
				NoVerify:            options.Defects.NoVerify,
				NoConservativeCount: options.Defects.NoConservativeCount,
				StaleAllotment:      options.Defects.StaleAllotment,
			},
		}),
		placement: placement.New(placement.Options{Settings: options.Settings.Placement}),
		members:   make(map[fleet.NodeName]fleet.Member),
		usable:    make(map[fleet.Zone][]fleet.Member),
		polls:     newPollState(),
		tables:    newTableState(),
		wants:     newWantState(),
		leaving:   newLeavingState(),
		evacuees:  newEvacuationState(),
		gone:      newGoneState(),
		// A core with the planted defect never learns, so it vouches at once.
		decider: deciderState{vouched: options.Defects.StaleAllotment},
	}
}

// tickInterval is how often the core wants to be stepped.
const tickInterval = 100 * time.Millisecond

// NextWake returns when Step(now, Tick{}) is wanted.
func (c *Core) NextWake() time.Time { return c.now.Add(tickInterval) }

// Leading reports whether the node leads its zone under an established round,
// and the round's fence.
func (c *Core) Leading() (bool, fleet.Fence) { return c.leader.Leading(), c.leader.Fence() }

// Record is the newest record of allotments that the node holds, and its
// version in the store.
func (c *Core) Record() VersionedRecord { return c.record }

// Tables are the newest whole route tables, by zone, as leaders sent them.
func (c *Core) Tables() map[fleet.Zone]fleet.RouteTable { return c.tables.whole() }

// TablesNewerThan are those of which the stamps name an older state or none.
func (c *Core) TablesNewerThan(held []TableStamp) map[fleet.Zone]fleet.RouteTable {
	return c.tables.newerThan(held)
}

// Step takes a message and returns what is to be done.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.now = now
	c.effects = nil
	c.placed = false
	c.take(message)
	c.stand()
	c.updateGone()
	c.updateElsewhere()
	c.updateDisplaced()
	c.stepLeader(leadership.Tick{})
	c.tickPlacement()
	c.poll()
	c.decide()
	c.reportArrivals()
	c.flushRefusals()
	c.publish()
	c.repair()
	return c.effects
}

func (c *Core) take(message Message) {
	switch message := message.(type) {
	case Tick:
	case MembersChanged:
		c.setMembers(message.Members)
	case MachinesChanged:
		c.setMachines(message.List)
	case CatalogChanged:
		c.setCatalog(message)
	case AllotmentsChanged:
		c.adoptRecord(message.VersionedRecord)
	case RecordLearned:
		c.recordLearned(message)
	case RecordWritten:
		c.recordWritten(message)
	case StateRead:
		c.stateRead(message.StateRead)
	case ClaimAnswered:
		c.stepLeader(message.ClaimAnswered)
	case OrderAnswered:
		c.orderAnswered(message)
	case WantsReported:
		c.takeWants(message)
	case ForwardAnswered:
		c.forwardAnswered(message)
	case TableReceived:
		c.tableReceived(message)
	case TablesPulled:
		c.tablesPulled(message)
	case LeavingNoticeReceived:
		c.leavingHeard(message)
	case HandOverRequested:
		c.handOverAsked(message)
	case StopRequested:
		c.stopRequested()
	}
}

// tickPlacement lets placement do what is due. Any message makes it plan, which
// costs as much as the zone is large, so the tick is left out after another one
// of the same step.
func (c *Core) tickPlacement() {
	if !c.placed {
		c.stepPlacement(placement.Tick{})
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) settings() Settings { return c.options.Settings }

func (c *Core) setCatalog(changed CatalogChanged) {
	c.models, c.places = changed.Models, changed.Topology
	c.takeEvacuations(changed.Evacuations)
	c.stepPlacement(placement.CatalogChanged{
		Models:          changed.Models,
		Adapters:        changed.Adapters,
		ColdStartWeight: changed.ColdStartWeight,
		Evacuated:       c.isEvacuated(c.options.Zone),
	})
	c.updateLimits()
}

// Candidate is the node that the core believes should lead the zone.
func (c *Core) Candidate() fleet.NodeName { return c.candidate() }

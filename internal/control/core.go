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
	// usableByZone holds the usable members of each zone, sorted by rank.
	usableByZone map[fleet.Zone][]fleet.Member
	machines     objectstore.MachineList
	machineIndex machineIndex
	models       []catalog.ModelInfo
	topology     locality.Map

	record     VersionedRecord
	recordSync recordSyncState
	candidacy  candidacyState
	polls      pollState
	tables     tableState
	wants      wantState
	leaving    leavingState
	evacuation evacuationState
	gone       goneState

	now time.Time
	// placementStepped is set once placement was stepped during the current
	// Step.
	placementStepped bool
	effects          []Effect
}

// New returns the core of a node that has no state yet.
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
		placement:    placement.New(placement.Options{Settings: options.Settings.Placement}),
		members:      make(map[fleet.NodeName]fleet.Member),
		usableByZone: make(map[fleet.Zone][]fleet.Member),
		polls:        newPollState(),
		candidacy:    newCandidacyState(),
		tables:       newTableState(),
		wants:        newWantState(),
		leaving:      newLeavingState(),
		evacuation:   newEvacuationState(),
		gone:         newGoneState(),
		// With the StaleAllotment defect the core never reads the record, so it
		// has to count as authoritative from the start.
		recordSync: recordSyncState{authoritative: options.Defects.StaleAllotment},
	}
}

// tickInterval is how often the core must be stepped.
const tickInterval = 100 * time.Millisecond

// NextWake returns when Step(now, Tick{}) is due.
func (c *Core) NextWake() time.Time { return c.now.Add(tickInterval) }

// Leading reports whether the node leads its zone under an established round,
// and that round's fence.
func (c *Core) Leading() (bool, fleet.Fence) { return c.leader.Leading(), c.leader.Fence() }

// Record returns the newest allotment record that the node has, with its
// version in the store.
func (c *Core) Record() VersionedRecord { return c.record }

// Tables returns the newest complete route table of each zone, as published by
// its leader.
func (c *Core) Tables() map[fleet.Zone]fleet.RouteTable { return c.tables.all() }

// TablesNewerThan returns the tables of the zones for which held has no stamp
// or the stamp of an older state.
func (c *Core) TablesNewerThan(held []TableStamp) map[fleet.Zone]fleet.RouteTable {
	return c.tables.newerThan(held)
}

// Step handles a message and returns the effects to carry out.
func (c *Core) Step(now time.Time, message Message) []Effect {
	c.now = now
	c.effects = nil
	c.placementStepped = false
	c.handleMessage(message)
	c.updateCandidacy()
	c.updateGone()
	c.updateOtherZones()
	c.updateDisplaced()
	c.stepLeader(leadership.Tick{})
	c.tickPlacement()
	c.pollEngines()
	c.cedeIfCutOff()
	c.updateRecord()
	c.reportArrivals()
	c.flushRefusals()
	c.publish()
	c.pullStaleTables()
	return c.effects
}

func (c *Core) handleMessage(message Message) {
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
		c.handleWants(message)
	case ForwardAnswered:
		c.forwardAnswered(message)
	case TableReceived:
		c.tableReceived(message)
	case TablesPulled:
		c.tablesPulled(message)
	case LeavingNoticeReceived:
		c.leavingNoticeReceived(message)
	case HandOverRequested:
		c.handOverRequested(message)
	case StopRequested:
		c.stopRequested()
	}
}

// tickPlacement runs placement's periodic work. Every message makes placement
// plan again, which costs time proportional to the size of the zone, so the
// tick is skipped if another message was sent in the same step.
func (c *Core) tickPlacement() {
	if !c.placementStepped {
		c.stepPlacement(placement.Tick{})
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) settings() Settings { return c.options.Settings }

func (c *Core) setCatalog(changed CatalogChanged) {
	c.models, c.topology = changed.Models, changed.Topology
	c.applyEvacuations(changed.Evacuations)
	c.stepPlacement(placement.CatalogChanged{
		Models:          changed.Models,
		Adapters:        changed.Adapters,
		ColdStartWeight: changed.ColdStartWeight,
		Evacuated:       c.isEvacuated(c.options.Zone),
	})
	c.updateLimits()
}

// Candidate returns the node that the core expects to lead the zone.
func (c *Core) Candidate() fleet.NodeName { return c.candidate() }

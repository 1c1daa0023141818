package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// controlPart runs a node's control core.
type controlPart struct {
	node  *node
	core  *control.Core
	waker *sim.Waker
	// confirmed is set once this boot has read the record from the store or
	// learned it from a majority.
	confirmed bool
}

func newControlPart(node *node, self fleet.Member, seed uint64) *controlPart {
	part := &controlPart{node: node}
	part.core = control.New(control.Options{
		Self:     self.Name,
		Zone:     self.Zone,
		BootID:   self.BootID,
		Seed:     seed,
		Settings: controlSettings(),
		Defects:  node.world.config.Defects.Control,
	})
	part.waker = sim.NewWaker(node.process, func() { part.step(control.Tick{}) })
	return part
}

// controlSettings returns the default settings with shorter placement times.
// Idle models are unloaded sooner, so that a run contains many loads.
func controlSettings() control.Settings {
	settings := control.DefaultSettings()
	settings.Placement.KeepAlive = 6 * time.Second
	settings.Placement.MinResidence = 2 * time.Second
	settings.Placement.ThrashWindow = 5 * time.Second
	settings.Placement.LoadTimeout = 20 * time.Second
	return settings
}

func (p *controlPart) start() {
	p.step(control.Tick{})
}

// step steps the core and performs its effects. It returns the refusals that are
// sent to other nodes in the answer to their report.
func (p *controlPart) step(message control.Message) map[fleet.NodeName][]fleet.LoadRefusal {
	if learned, found := message.(control.RecordLearned); found && !learned.Failed && learned.Record.Generation > 0 {
		p.confirmed = true
	}
	refusals := make(map[fleet.NodeName][]fleet.LoadRefusal)
	for _, effect := range p.core.Step(p.node.process.Now(), message) {
		refused, found := effect.(control.RefuseWants)
		if found && refused.Node != p.node.name {
			refusals[refused.Node] = refused.Refusals
			continue
		}
		p.perform(effect)
	}
	p.waker.Set(p.core.NextWake())
	return refusals
}

func (p *controlPart) perform(effect control.Effect) {
	switch effect := effect.(type) {
	case control.ReadEngine:
		p.readEngine(effect)
	case control.SendClaim:
		p.sendClaim(effect)
	case control.SendOrder:
		p.sendOrder(effect)
	case control.LearnRecord:
		p.learnRecord(effect)
	case control.WriteRecord:
		p.writeRecord(effect)
	case control.PublishTable:
		p.publishTable(effect)
	case control.PullTables:
		p.pullTables(effect)
	case control.ForwardWants:
		p.forwardWants(effect)
	case control.RefuseWants:
		p.node.world.count("load-refused")
		p.node.post(func() { p.node.requests.loadRefused(effect.Refusals) })
	case control.BroadcastLeaving:
		p.broadcastLeaving(effect)
	case control.HandOver:
		p.handOver(effect)
	case control.TablesChanged:
		p.node.tables = effect.Tables
		p.node.post(func() { p.node.requests.tablesChanged(effect.Tables) })
	case control.LeadershipChanged:
		p.leadershipChanged(effect)
	}
}

func (p *controlPart) leadershipChanged(effect control.LeadershipChanged) {
	world := p.node.world
	if effect.Leading {
		world.count("rounds-established")
	}
	world.trace.Note("leadership %s leading=%t fence=%s %s", p.node.name, effect.Leading, effect.Fence, effect.Reason)
}

// catalogChanged passes the catalog in force to the core.
func (p *controlPart) catalogChanged(snapshot *catalog.Snapshot) {
	p.step(control.CatalogChanged{
		Models:          snapshot.Models(),
		Adapters:        snapshot.Adapters(),
		ColdStartWeight: snapshot.Preferences().ColdStartWeight,
		Evacuations:     snapshot.Evacuations(),
		Topology:        snapshot.Topology(),
	})
}

// recordChanged passes the allotment record, as distributed with the
// configuration, to the core.
func (p *controlPart) recordChanged(object objectstore.Object) {
	if record, decoded := decodeRecord(object); decoded {
		p.step(control.AllotmentsChanged{VersionedRecord: record})
	}
}

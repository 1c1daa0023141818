package control

import (
	"maps"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// stream is what one audience of the leader's table has not yet been sent. The
// zone's own members hear every change that matters to routing; other zones
// hear at once only what an engine holds, and the rest now and then.
type stream struct {
	// fresh is set where the whole table is to be sent.
	fresh bool
	// urgent changes go out at once, pending ones with the next update.
	urgent  bool
	pending map[fleet.BackendName]bool
	// loads are engines of which only the report of load is pending.
	loads   map[fleet.BackendName]bool
	removed map[fleet.BackendName]bool
	// reports are those that were sent last.
	reports map[fleet.BackendName]fleet.LoadReport
	// since is the sequence of the last update.
	since     uint64
	published time.Time
}

func newStream() stream {
	return stream{
		pending: make(map[fleet.BackendName]bool),
		loads:   make(map[fleet.BackendName]bool),
		removed: make(map[fleet.BackendName]bool),
		reports: make(map[fleet.BackendName]fleet.LoadReport),
	}
}

// changed notes an engine's newer state.
func (s *stream) changed(before, after fleet.EngineState) {
	delete(s.removed, after.Name)
	if !sameHoldings(before, after) {
		s.urgent = true
		s.pending[after.Name] = true
	}
	if !similarReport(s.reports[after.Name], after.Report) {
		s.loads[after.Name] = true
	}
}

func (s *stream) dropped(name fleet.BackendName) {
	delete(s.pending, name)
	delete(s.loads, name)
	delete(s.reports, name)
	s.removed[name] = true
	s.urgent = true
}

// sameHoldings compares all but the report of load.
func sameHoldings(a, b fleet.EngineState) bool {
	a.Report, b.Report = fleet.LoadReport{}, fleet.LoadReport{}
	return reflect.DeepEqual(a, b)
}

// reportTolerance is the relative change of a report that is not worth sending.
const reportTolerance = 0.25

func similarReport(a, b fleet.LoadReport) bool {
	return similar(float64(a.Running), float64(b.Running)) &&
		similar(float64(a.Waiting), float64(b.Waiting)) &&
		similar(float64(a.QueuedTokens), float64(b.QueuedTokens)) &&
		similar(a.TokensPerSecond, b.TokensPerSecond) &&
		similar(float64(a.KVUsedBytes), float64(b.KVUsedBytes))
}

func similar(a, b float64) bool {
	return math.Abs(a-b) <= reportTolerance*max(math.Abs(a), math.Abs(b))
}

// due reports whether an update is to be sent now.
func (s *stream) due(now time.Time, reports, heartbeat time.Duration) bool {
	elapsed := now.Sub(s.published)
	return s.fresh || s.urgent || (len(s.loads) > 0 && elapsed >= reports) || elapsed >= heartbeat
}

// publishOwn sends the leader's table to both audiences.
func (c *Core) publishOwn(table *zoneTable) {
	if services := c.services(); !slices.Equal(services, table.services) {
		table.services = services
		c.tables.near.urgent, c.tables.far.urgent = true, true
	}
	if waiting := c.placement.WaitingLoads(); waiting != table.waitingLoads {
		table.waitingLoads = waiting
		c.tables.far.urgent = true
	}
	settings := c.settings()
	near := c.tables.near.due(c.now, settings.ReportInterval, settings.HeartbeatInterval)
	far := c.tables.far.due(c.now, settings.RemoteReportInterval, settings.RemoteHeartbeatInterval)
	if !near && !far {
		return
	}
	table.sequence++
	table.heard = c.now
	if near {
		c.tables.viewChanged = true
		update := c.update(table, &c.tables.near)
		update.Table.Refusals, c.tables.refused = c.tables.refused, nil
		c.emit(PublishTable{To: c.peersOfZone(c.options.Zone), Update: update})
	}
	if far {
		c.emit(PublishTable{To: c.relays(), Update: c.update(table, &c.tables.far)})
	}
}

// update is what the audience lacks; it counts as sent.
func (c *Core) update(table *zoneTable, stream *stream) TableUpdate {
	update := TableUpdate{Table: fleet.RouteTable{
		Zone:     c.options.Zone,
		Leader:   table.leader,
		Fence:    table.fence,
		Sequence: table.sequence,
		Services: table.services,

		WaitingLoads: table.waitingLoads,
	}}
	if stream.fresh {
		update.Table.Engines = table.export(c.options.Zone).Engines
	} else {
		update.BaseSequence = stream.since
		for _, name := range slices.Sorted(maps.Keys(stream.pending)) {
			update.Table.Engines = append(update.Table.Engines, table.engines[name])
		}
		for _, name := range slices.Sorted(maps.Keys(stream.loads)) {
			if !stream.pending[name] {
				report := table.engines[name].Report
				update.Reports = append(update.Reports, EngineReport{Engine: name, Report: report})
				stream.reports[name] = report
			}
		}
		update.Removed = slices.Sorted(maps.Keys(stream.removed))
	}
	for _, state := range update.Table.Engines {
		stream.reports[state.Name] = state.Report
	}
	stream.fresh, stream.urgent = false, false
	clear(stream.pending)
	clear(stream.loads)
	clear(stream.removed)
	stream.since, stream.published = table.sequence, c.now
	return update
}

// relaysPerZone is how many nodes of another zone hear of a table from its
// leader; each passes it on, and one may fail.
const relaysPerZone = 2

// relays are the first-ranked usable members of each other zone.
func (c *Core) relays() []fleet.Member {
	byZone := make(map[fleet.Zone][]fleet.Member)
	for _, member := range c.strangers() {
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	var relays []fleet.Member
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		members := byZone[zone]
		slices.SortFunc(members, func(a, b fleet.Member) int { return byRank(zone, a, b) })
		relays = append(relays, members[:min(relaysPerZone, len(members))]...)
	}
	return relays
}

// strangers are the known usable nodes of other zones, by name.
func (c *Core) strangers() []fleet.Member {
	var strangers []fleet.Member
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		if member := c.members[name]; member.Zone != c.options.Zone && member.Usable() {
			strangers = append(strangers, member)
		}
	}
	return strangers
}

// audience are all nodes that are told at once of back ends that leave.
func (c *Core) audience() []fleet.Member {
	return append(c.peersOfZone(c.options.Zone), c.strangers()...)
}

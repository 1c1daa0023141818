package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placer"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// LeaseStore is where the leader's lease lies.
type LeaseStore interface {
	ReadLease(ctx context.Context) (record storelease.Record, found bool, err error)
	// WriteLease writes the lease if it is still at the record's revision.
	WriteLease(ctx context.Context, record storelease.Record) (at storepos.Position, won bool, err error)
}

// errCallNotAdmitted says that a report was not asked for.
var errCallNotAdmitted = errors.New("the server rests, or takes no more for now")

// EngineClient are the servers that take orders.
type EngineClient interface {
	FetchReport(ctx context.Context, call placer.ReportRequest) (placer.Report, error)
	// Order gives an order that is given up once the time that permit leaves it, right
	// before it leaves, is over; where none is left it doesn't leave. The server's word is
	// empty where no answer came.
	Order(ctx context.Context, order placer.Order, holder string, token int64, permit func() time.Duration) (placer.Result, inventory.Hint)
}

const (
	// leaseDuration is how long one write keeps the lease.
	leaseDuration = 2 * time.Second
	leaseRenewal  = 700 * time.Millisecond
	leaseMargin   = 300 * time.Millisecond
	// leaseRetryPause is the pause between calls of a candidate, or of a holder
	// whose write failed.
	leaseRetryPause = 500 * time.Millisecond
	// leaseReadInterval is the pause between two looks of a candidate at a lease that
	// another may hold.
	leaseReadInterval = time.Second
	// candidacyDelay is how long a node listens before it may become leader.
	candidacyDelay = 800 * time.Millisecond
	// rankDelay keeps candidates from calling the store all at once.
	rankDelay = 700 * time.Millisecond
	// leaseExpiryTolerance is how long others leave a leader to renew a lapsed lease.
	leaseExpiryTolerance = 1500 * time.Millisecond
	leaderPeriod         = 50 * time.Millisecond
	// minPublishInterval is the least time between the leader's datagrams.
	minPublishInterval = 15 * time.Millisecond
	inboxSize          = 256
)

// leader is the part of a node that holds the lease at times, and orders models
// while it does. One goroutine owns it; others post to its inbox.
type leader struct {
	node  *Node
	inbox chan func()
	lease *storelease.Core
	core  *placer.Core
	// demand is kept by every node, for the term that it may begin.
	demand *placer.Demand
	// loads are what all nodes have under way, while this node leads.
	loads           *dispatch.FleetLoads
	demandCountedAt time.Time
	// loadsPublishedAt is when loads were last told.
	loadsPublishedAt time.Time

	started         time.Time
	leaderlessSince time.Time
	// yieldCheckedAt is when this leader last looked for a much stronger node,
	// yieldFrom since when it sees one (zero while none is), and yielded when it
	// last left the lead to one.
	yieldCheckedAt time.Time
	strongerSince  time.Time
	yieldedAt      time.Time
	// reserveNow asks for a write of the lease ahead of its time.
	reserveNow  bool
	callPending bool
	// refusedWrites counts the writes refusedWrites in a row.
	refusedWrites int
	nextCall      time.Time
	servers       *inventory.Table
	publishedAt   time.Time
	viewsChanged  bool
	// leaseCheckedAt is when the lease was last looked at, and steppedAt when the core
	// last made a step.
	leaseCheckedAt time.Time
	steppedAt      time.Time
	// placementLoggedAt is when the placement was last logged.
	placementLoggedAt time.Time

	// What other goroutines may read.
	term         atomic.Int64
	validUntil   atomic.Int64
	firstOrderAt atomic.Int64
	leaseEra     atomic.Int64
	revision     atomic.Int64
}

func newLeader(node *Node) *leader {
	return &leader{
		node:    node,
		inbox:   make(chan func(), inboxSize),
		started: clock.Now(),
		lease: storelease.New(storelease.Options{
			Holder:        node.options.Name,
			Address:       node.options.PeerAddress,
			Duration:      leaseDuration,
			RenewInterval: leaseRenewal,
			Margin:        leaseMargin,
			QuietPeriod:   node.options.LeaseQuietPeriod,
		}),
		servers: inventory.NewTable(),
		demand:  placer.NewDemand(),
	}
}

// post hands work to the leader's goroutine; it is left out where the inbox is
// full, since all that is posted comes again or is asked for again.
func (l *leader) post(work func()) {
	select {
	case l.inbox <- work:
	default:
	}
}

// deliver hands over the result of a deliver, which must not be left out.
func (l *leader) deliver(ctx context.Context, work func()) {
	select {
	case l.inbox <- work:
	case <-ctx.Done():
	}
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(leaderPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-l.inbox:
			work()
			l.drainInbox()
			if l.core == nil && clock.Since(l.leaseCheckedAt) < leaderPeriod {
				// Nothing to order: the lease is looked at with the ticker.
				continue
			}
		case <-ticker.C:
		}
		l.step(ctx)
	}
}

func (l *leader) drainInbox() {
	for {
		select {
		case work := <-l.inbox:
			work()
		default:
			return
		}
	}
}

func (l *leader) step(ctx context.Context) {
	now := clock.Now()
	l.leaseCheckedAt = now
	l.maintainLease(ctx, now)
	l.followTerm(now)
	if l.core != nil || now.Sub(l.demandCountedAt) >= gossipPeriod {
		l.demandCountedAt = now
		l.countOwnDemand(now)
	}
	if l.core == nil || now.Sub(l.steppedAt) < l.stepPause() {
		return
	}
	l.steppedAt = now
	l.core.SetTable(l.node.handler.Table())
	l.core.SetEvacuated(now, l.node.evacuations.zones())
	l.node.dispatch.Do(func(core *dispatch.Core) {
		l.core.SetUnavailable(now, core.UnavailableStarts(now))
		totals := core.TotalLoads(now)
		l.core.SetRunningRequests(dispatch.RunningByServer(totals))
		l.loads.Add(now, totals)
	})
	effects := l.core.Step(now, l.lease.MayIssueOrders(now))
	for _, order := range effects.Orders {
		l.sendOrder(ctx, order)
	}
	for _, call := range effects.ReportRequests {
		l.fetchReport(ctx, call)
	}
	l.viewsChanged = l.viewsChanged || effects.ViewsChanged
	l.logPlacement(now)
	l.publish(now)
}

const (
	// minStepPause and stepPauseShare, which counts for each server, bound how
	// often orders are thought over: every datagram of every node asks for it.
	minStepPause       = 5 * time.Millisecond
	stepPausePerServer = 500 * time.Microsecond
)

// stepPause is the time between two steps of the core. With many servers it is
// the ticker's period.
func (l *leader) stepPause() time.Duration {
	return min(leaderPeriod, minStepPause+time.Duration(l.core.ServerCount())*stepPausePerServer)
}

// leasePosition is where this node last wrote the lease.
func (l *leader) leasePosition() storepos.Position {
	return storepos.At(l.leaseEra.Load(), l.revision.Load())
}

// leadership is the term of this node, and how long ago its lease ended.
func (l *leader) leadership() (term int64, expiredFor time.Duration) {
	term = l.term.Load()
	return term, max(0, clock.Since(l.started)-time.Duration(l.validUntil.Load()))
}

// untilFirstOrder is the time until the first order of the term may leave.
func (l *leader) untilFirstOrder() time.Duration {
	return max(0, time.Duration(l.firstOrderAt.Load())-clock.Since(l.started))
}

// orderTimeout is how long an order of the term to a server of the zone that leaves now may be
// under way: until the lease ends, 0 where none may leave. Any goroutine may ask, right before it sends.
func (l *leader) orderTimeout(term int64, zone string) time.Duration {
	now := clock.Since(l.started)
	if l.term.Load() != term || now < time.Duration(l.firstOrderAt.Load()) || l.node.evacuations.isEvacuated(zone) {
		return 0
	}
	return max(0, time.Duration(l.validUntil.Load())-now)
}

// storeLeasePosition keeps where the lease was written for others to read: nowhere, where the record is
// not the newest.
func (l *leader) storeLeasePosition() {
	at := l.lease.Record().Position
	if l.lease.IsRestored() {
		at = storepos.Position{}
	}
	l.leaseEra.Store(at.Era)
	l.revision.Store(at.Revision)
}

// followTerm starts and ends terms as the lease goes.
func (l *leader) followTerm(now time.Time) {
	term := l.lease.Term()
	l.validUntil.Store(int64(l.lease.ValidUntil().Sub(l.started)))
	l.firstOrderAt.Store(int64(l.lease.FirstOrderAt().Sub(l.started)))
	l.storeLeasePosition()
	previous := l.term.Swap(term)
	if term == previous {
		return
	}
	if term == 0 {
		l.core = nil
		l.node.options.Logger.Info().Int64("term", previous).Msg("lease_lost")
		return
	}
	l.node.options.Logger.Info().Int64("term", term).
		Int64("order_in_ms", l.lease.FirstOrderAt().Sub(now).Milliseconds()).Msg("lease_taken")
	l.node.peers.pruneViews(func(string) bool { return false })
	l.loads = dispatch.NewFleetLoads()
	l.core = placer.New(placer.Options{
		Window: l.node.options.ModelLoadWindow, Overage: l.node.options.ModelLoadOverage,
		LoadsAtOnce: l.lease.PastLoadsAtOnce(), Demand: l.demand, Topology: l.node.options.Topology,
	})
	l.core.SetTable(l.node.handler.Table())
	var all []inventory.Change
	for server := range l.servers.All {
		all = append(all, inventory.Change{Server: server})
	}
	l.core.SetServers(now, all)
	l.core.AddPriorLoads(l.lease.PastLoads())
	// The first orders wait for a write that reserves their loads.
	l.nextCall = now
	l.reserveNow = true
}

// applyServerList and changeServers keep the leader's table of servers, which goes
// by the store alone.
func (l *leader) applyServerList(now, requestedAt time.Time, servers []inventory.Server, at storepos.Position) {
	l.applyServerChanges(l.servers.Replace(now, requestedAt, servers, at))
}

func (l *leader) applyServerEvents(now time.Time, events []inventory.Change, at storepos.Position) {
	l.applyServerChanges(l.servers.Apply(events, at))
}

func (l *leader) applyServerChanges(changes []inventory.Change) {
	if l.core != nil {
		l.core.SetServers(clock.Now(), changes)
	}
}

// handleState takes what a node counted, and answers it where it asks for views.
func (l *leader) handleState(state *peerpb.NodeState) {
	now := clock.Now()
	if state.TellsWanted {
		l.demand.SetCounts(now, state.Address, state.Life, decodeCounts(state.Wanted, l.node.options.Topology.Region(state.Zone)))
	}
	if l.core != nil && state.ViewsWanted {
		l.node.peers.replyViews(state, l.term.Load(), l.lease.ExpiredFor(now), func(wanted func(serverID string) bool) []dispatch.View {
			return withDigests(l.core.ViewsOf(now, wanted))
		})
	}
}

// withDigests gives views their digests.
func withDigests(views []dispatch.View) []dispatch.View {
	for i := range views {
		views[i].Digest = viewDigest(views[i].ServerID, viewSignature(views[i]))
	}
	return views
}

// countOwnDemand takes this node's own counts as those of any other.
func (l *leader) countOwnDemand(now time.Time) {
	l.demand.SetCounts(now, l.node.options.PeerAddress, l.node.peers.incarnation, decodeCounts(l.node.peers.recentDemand(now, demandWindow), l.node.options.Topology.Region(l.node.options.Zone)))
}

func (l *leader) sendOrder(ctx context.Context, order placer.Order) {
	term := l.term.Load()
	core := l.core
	started := clock.Now()
	zone := core.ZoneOf(order.ServerID)
	go func() {
		admitted := l.node.admissions.AdmitInternalCall(ctx, order.Start())
		result, hint := placer.ResultNotSent, inventory.Hint{}
		if admitted.Granted {
			result, hint = l.node.options.Engines.Order(ctx, order, l.node.options.Name, term, func() time.Duration {
				if !l.mayCallServer(order.Start(), admitted) {
					return 0
				}
				return l.orderTimeout(term, zone)
			})
		}
		if result == placer.ResultNotSent {
			l.node.admissions.ReturnGrant(order.Start(), admitted)
		}
		l.node.hints.receiveFromCall(order.Start(), hint, hintFromOrder)
		l.deliver(ctx, func() {
			addLimit(l.node.options.Logger.Info(), hint).Int64("term", term).Str("server", order.ServerID).
				Str("operation", order.Operation.String()).Str("model", order.Model).Str("adapter", order.Adapter).
				Int64("expected", order.ExpectedSequence).Str("source", order.Source.String()).Str("reason", order.Reason).
				Str("result", result.String()).Int64("took_ms", clock.Since(started).Milliseconds()).
				Int("loads_allowed", core.LoadLimit(order.ServerID)).Msg("order_answered")
			l.node.metrics.order(order, result)
			core.HandleOrderResult(clock.Now(), order, result)
			if result == placer.ResultFenced && core == l.core {
				l.lease.WriteConflicted()
			}
		})
	}()
}

// addLimit adds the rate limit that an answer names to a line.
func addLimit(entry *log.Entry, hint inventory.Hint) *log.Entry {
	if hint.Limit.IsSet() {
		entry.Float64("server_limit", hint.Limit.PerSecond)
	}
	return entry
}

// mayCallServer reports whether a call of the system itself may leave for the server now, which was
// admitted: the server does not rest, and named no rate limit meanwhile that the verdict lacks.
func (l *leader) mayCallServer(start inventory.Start, admitted relay.AdmissionDecision) (may bool) {
	now := clock.Now()
	l.node.dispatch.Do(func(core *dispatch.Core) {
		_, isLimited := core.RateLimit(start)
		may = admitted.Granted && core.MayCall(now, start) && (!isLimited || now.Before(admitted.ValidUntil))
	})
	return may
}

func (l *leader) fetchReport(ctx context.Context, call placer.ReportRequest) {
	core := l.core
	go func() {
		report, err := placer.Report{}, errCallNotAdmitted
		admitted := l.node.admissions.AdmitInternalCall(ctx, call.Start())
		if l.mayCallServer(call.Start(), admitted) {
			report, err = l.node.options.Engines.FetchReport(ctx, call)
			l.node.hints.receiveFromCall(call.Start(), report.Hint, hintFromReport)
		} else if admitted.Granted {
			l.node.admissions.ReturnGrant(call.Start(), admitted)
		}
		l.deliver(ctx, func() {
			addLimit(l.node.options.Logger.Info(), report.Hint).Str("server", call.ServerID).Int64("sequence", report.Sequence).
				Bool("busy", report.Busy).Int("models", len(report.Models)).Bool("ok", err == nil).Msg("report_read")
			core.HandleReport(clock.Now(), call.ServerID, report, err == nil)
		})
	}()
}

// publish tells all nodes what the leader knows of the servers. The more nodes
// there are, the more rarely, so that its cost a second stays the same.
func (l *leader) publish(now time.Time) {
	nodes := time.Duration(l.node.peers.count())
	quiet, busy := max(gossipPeriod, nodes*publishCostPerNode), max(minPublishInterval, nodes*publishCostPerNode/4)
	sincePublished := now.Sub(l.publishedAt)
	if sincePublished < busy || (!l.viewsChanged && sincePublished < quiet) {
		return
	}
	l.viewsChanged = false
	l.publishedAt = now
	views := withDigests(l.core.Views(now))
	term := l.term.Load()
	expiredFor, untilFirstOrder := l.lease.ExpiredFor(now), l.untilFirstOrder()
	l.node.dispatch.Do(func(core *dispatch.Core) {
		core.SetViews(now, term, views)
		core.SetLeader(now, term, expiredFor > 0, untilFirstOrder)
	})
	l.node.peers.pruneViews(l.core.HasServer)
	l.viewsChanged = l.node.peers.publishViews(term, expiredFor, views, l.publishedLoads(now))
}

// loadsPublishPeriod is the least time between two tellings of the busiest servers: their loads are
// smoothed over a second, and took most of the bytes that the leader sent when they were in
// each datagram.
const loadsPublishPeriod = 400 * time.Millisecond

// maxPublishedLoads is the number of servers whose loads the leader tells, as many as go
// into a datagram.
const maxPublishedLoads = 48

// publishedLoads are the publishedLoads servers, where nodes hear of each other's requests too
// rarely to know them; they are in force here, too.
func (l *leader) publishedLoads(now time.Time) []dispatch.PeerLoad {
	if l.node.peers.count() <= maxLoadSharingNodes || now.Sub(l.loadsPublishedAt) < loadsPublishPeriod {
		return nil
	}
	l.loadsPublishedAt = now
	loads := l.loads.Busiest(maxPublishedLoads)
	l.node.dispatch.Do(func(core *dispatch.Core) { core.SetFleetLoads(now, l.term.Load(), loads) })
	return loads
}

// placementLogPeriod is the time between two lines on where models stand.
const placementLogPeriod = 2 * time.Second

func (l *leader) logPlacement(now time.Time) {
	if now.Sub(l.placementLoggedAt) < placementLogPeriod {
		return
	}
	l.placementLoggedAt = now
	for _, placed := range l.core.Summaries(now) {
		l.node.options.Logger.Info().Int64("term", l.term.Load()).Str("service", placed.Service).
			Int("servers", placed.Servers).Int("known", placed.Known).Int("copies", placed.Copies).
			Int("wanted", placed.Wanted).Int("absent", placed.Absent).Int("loading", placed.Loading).
			Int("loading_from_store", placed.LoadingFromStore).Int("emptied", placed.Emptied).Int("paused", placed.Paused).Int("closed", placed.Closed).
			Str("several", placed.Several).Msg("placement")
	}
}

// publishCostPerNode is the time between two datagrams of the leader's to one node for
// each node that there is.
const publishCostPerNode = 2 * time.Millisecond

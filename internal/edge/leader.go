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

// LeaseStore stores the leader's lease.
type LeaseStore interface {
	ReadLease(ctx context.Context) (record storelease.Record, found bool, err error)
	// WriteLease writes the lease if it is still at the record's revision.
	WriteLease(ctx context.Context, record storelease.Record) (at storepos.Position, won bool, err error)
}

// errOrderUnreached marks an order for which no connection to its server came up.
var errOrderUnreached = errors.New("no connection to the server of an order came up")

// errCallNotAdmitted marks a report that was not requested.
var errCallNotAdmitted = errors.New("the call was not admitted: the server is backing off or limited")

// EngineClient sends calls to the inference engines of servers.
type EngineClient interface {
	FetchReport(ctx context.Context, call placer.ReportRequest) (placer.Report, error)
	// Order sends an order. It calls permit right before sending: the order is abandoned
	// after the returned time, and not sent if that is 0. The hint is empty if no response
	// arrived.
	Order(ctx context.Context, order placer.Order, holder string, token int64, permit func() time.Duration) (placer.Result, inventory.Hint)
}

const (
	// leaseDuration is how long one write keeps the lease.
	leaseDuration = 2 * time.Second
	leaseRenewal  = 700 * time.Millisecond
	leaseMargin   = 300 * time.Millisecond
	// leaseRetryPause is the pause between calls of a candidate, or of a holder whose write
	// failed.
	leaseRetryPause = 500 * time.Millisecond
	// leaseReadInterval is the pause between a candidate's reads of a lease that another node
	// may hold.
	leaseReadInterval = time.Second
	// candidacyDelay is how long a node listens before it may become leader.
	candidacyDelay = 800 * time.Millisecond
	// rankDelay keeps candidates from calling the store all at once.
	rankDelay = 700 * time.Millisecond
	// leaseExpiryTolerance is how long others wait for a leader to renew an expired lease.
	leaseExpiryTolerance = 1500 * time.Millisecond
	leaderPeriod         = 50 * time.Millisecond
	// minPublishInterval is the minimum interval between the leader's datagrams.
	minPublishInterval = 15 * time.Millisecond
	inboxSize          = 256
)

// leader is the part of a node that competes for the lease and, while holding it, places models
// on servers. One goroutine owns it; others post work to its inbox.
type leader struct {
	node  *Node
	inbox chan func()
	lease *storelease.Core
	core  *placer.Core
	// demand is maintained by every node, for a term that it may begin.
	demand *placer.Demand
	// formerOrders are the orders of earlier terms that servers may still execute.
	formerOrders *placer.FormerOrders
	// loads holds the requests in progress at all nodes, while this node leads.
	loads           *dispatch.FleetLoads
	demandCountedAt time.Time
	// loadsPublishedAt is when loads were last published.
	loadsPublishedAt time.Time

	started         time.Time
	leaderlessSince time.Time
	// yieldCheckedAt is when this leader last checked for a much stronger node, strongerSince is
	// since when it has seen one (zero while there is none), and yieldedAt is when it last
	// yielded to one.
	yieldCheckedAt time.Time
	strongerSince  time.Time
	yieldedAt      time.Time
	// reserveNow requests a write of the lease ahead of its renewal.
	reserveNow  bool
	callPending bool
	// refusedWrites counts the consecutive refused writes.
	refusedWrites int
	nextCall      time.Time
	servers       *inventory.Table
	publishedAt   time.Time
	viewsChanged  bool
	// leaseCheckedAt is when the lease was last checked, and steppedAt is when the core last
	// made a step.
	leaseCheckedAt time.Time
	steppedAt      time.Time
	// placementLoggedAt is when the placement was last logged.
	placementLoggedAt time.Time

	// Fields that other goroutines may read.
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

		formerOrders: placer.NewFormerOrders(),
	}
}

// post queues work for the leader's goroutine. It drops the work if the inbox is full, since
// everything posted recurs or is requested again.
func (l *leader) post(work func()) {
	select {
	case l.inbox <- work:
	default:
	}
}

// deliver queues the result of a call, which must not be dropped.
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
				// There is nothing to place; the ticker triggers the next lease check.
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
	// minStepPause and stepPausePerServer (for each server) bound how often the placement is
	// recomputed: every datagram of every node triggers it.
	minStepPause       = 5 * time.Millisecond
	stepPausePerServer = 500 * time.Microsecond
)

// stepPause returns the interval between two steps of the core. With many servers it equals the
// ticker's period.
func (l *leader) stepPause() time.Duration {
	return min(leaderPeriod, minStepPause+time.Duration(l.core.ServerCount())*stepPausePerServer)
}

// leasePosition returns the position of this node's last lease write.
func (l *leader) leasePosition() storepos.Position {
	return storepos.At(l.leaseEra.Load(), l.revision.Load())
}

// leadership returns this node's term, and how long ago its lease expired.
func (l *leader) leadership() (term int64, expiredFor time.Duration) {
	term = l.term.Load()
	return term, max(0, clock.Since(l.started)-time.Duration(l.validUntil.Load()))
}

// untilFirstOrder returns the time until the first order of the term may be sent.
func (l *leader) untilFirstOrder() time.Duration {
	return max(0, time.Duration(l.firstOrderAt.Load())-clock.Since(l.started))
}

// orderTimeout returns how long an order of the term to a server of the zone may be in progress
// if sent now: until the lease expires, or 0 if it must not be sent. Any goroutine may call it
// right before sending.
func (l *leader) orderTimeout(term int64, zone string) time.Duration {
	now := clock.Since(l.started)
	if l.term.Load() != term || now < time.Duration(l.firstOrderAt.Load()) || l.node.evacuations.isEvacuated(zone) {
		return 0
	}
	return max(0, time.Duration(l.validUntil.Load())-now)
}

// storeLeasePosition publishes the position of the lease for other goroutines: the zero position
// if the record is not the newest.
func (l *leader) storeLeasePosition() {
	at := l.lease.Record().Position
	if l.lease.IsRestored() {
		at = storepos.Position{}
	}
	l.leaseEra.Store(at.Era)
	l.revision.Store(at.Revision)
}

// followTerm starts and ends terms according to the lease.
func (l *leader) followTerm(now time.Time) {
	term := l.lease.Term()
	l.validUntil.Store(int64(l.lease.ValidUntil().Sub(l.started)))
	l.firstOrderAt.Store(int64(l.lease.FirstOrderAt().Sub(l.started)))
	l.storeLeasePosition()
	previous := l.term.Swap(term)
	if term == previous {
		return
	}
	if l.core != nil {
		l.core.EndTerm(now)
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
	l.recallLoadsOfOthers()
	l.core = placer.New(placer.Options{
		FormerOrders: l.formerOrders,
		Window:       l.node.options.ModelLoadWindow, Overage: l.node.options.ModelLoadOverage,
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

// applyServerList and applyServerEvents maintain the leader's table of servers, which relies on
// the store alone.
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

// handleState records a node's demand, and replies if it requests views.
func (l *leader) handleState(state *peerpb.NodeState) {
	now := clock.Now()
	if state.TellsWanted {
		l.demand.SetCounts(now, state.Address, state.Life, decodeCounts(append(state.Wanted, state.WantedAtVersion...), l.node.options.Topology.Region(state.Zone)))
	}
	if l.core != nil && state.ViewsWanted {
		l.node.peers.replyViews(state, l.term.Load(), l.lease.ExpiredFor(now), func(wanted func(serverID string) bool) []dispatch.View {
			return withDigests(l.core.ViewsOf(now, wanted))
		})
	}
}

// withDigests sets the digests of views.
func withDigests(views []dispatch.View) []dispatch.View {
	for i := range views {
		views[i].Digest = viewDigest(views[i].ServerID, viewSignature(views[i]))
	}
	return views
}

// countOwnDemand records this node's own demand like that of any other node.
func (l *leader) countOwnDemand(now time.Time) {
	l.demand.SetCounts(now, l.node.options.PeerAddress, l.node.peers.incarnation, decodeCounts(l.node.peers.recentDemand(now, demandWindow), l.node.options.Topology.Region(l.node.options.Zone)))
}

func (l *leader) sendOrder(ctx context.Context, order placer.Order) {
	term := l.term.Load()
	core := l.core
	started := clock.Now()
	zone := core.ZoneOf(order.ServerID)
	go func() {
		admitted := l.node.admissions.AdmitInternalCall(ctx, order.Start(), internalCall)
		result, hint := placer.ResultNotSent, inventory.Hint{}
		if admitted.Granted {
			result, hint = l.node.options.Engines.Order(ctx, order, l.node.options.Name, term, func() time.Duration {
				if !l.mayCallServer(order.Start(), admitted) {
					return 0
				}
				return l.orderTimeout(term, zone)
			})
		}
		if result == placer.ResultUnreached {
			l.node.reachable.recordCall(order.ServerID, errOrderUnreached)
		}
		if result.IsUnsent() {
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

// addLimit adds the rate limit named in a response to a log entry.
func addLimit(entry *log.Entry, hint inventory.Hint) *log.Entry {
	if hint.Limit.IsSet() {
		entry.Float64("server_limit", hint.Limit.PerSecond)
	}
	return entry
}

// mayCallServer reports whether an admitted call of the system itself may be sent to the server
// now: the server has not asked to back off, and has not reported a rate limit since that the
// admission does not cover.
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
		admitted := l.node.admissions.AdmitInternalCall(ctx, call.Start(), internalCall)
		report, err := l.askForReport(ctx, call, admitted)
		l.deliver(ctx, func() {
			addLimit(l.node.options.Logger.Info(), report.Hint).Str("server", call.ServerID).Int64("sequence", report.Sequence).
				Bool("busy", report.Busy).Int("models", len(report.Models)).Bool("ok", err == nil).Msg("report_read")
			core.HandleReport(clock.Now(), call.ServerID, report, err == nil)
		})
	}()
}

// askForReport asks a server for its report, if the server's limits admit the call.
func (l *leader) askForReport(ctx context.Context, call placer.ReportRequest, admitted relay.AdmissionDecision) (placer.Report, error) {
	if !l.mayCallServer(call.Start(), admitted) {
		if admitted.Granted {
			l.node.admissions.ReturnGrant(call.Start(), admitted)
		}
		return placer.Report{}, errCallNotAdmitted
	}
	report, err := l.node.options.Engines.FetchReport(ctx, call)
	l.node.reachable.recordCall(call.ServerID, err)
	l.node.hints.receiveFromCall(call.Start(), report.Hint, hintFromReport)
	if err == nil {
		l.node.origins.live.Record(inventory.Start{ID: call.ServerID, StartedAtMs: report.StartedAtMs}, report.AliveFrom, report.AliveUntil)
	}
	return report, err
}

// publish sends the leader's views to all nodes. The interval grows with the number of nodes, so
// that the cost per second stays constant.
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

// loadsPublishPeriod is the minimum interval between two publications of the busiest servers.
// Their loads are smoothed over a second, and took most of the bytes that the leader sent when
// they were in every datagram.
const loadsPublishPeriod = 400 * time.Millisecond

// maxPublishedLoads is the number of servers whose loads the leader publishes, as many as fit
// into a datagram.
const maxPublishedLoads = 48

// publishedLoads returns the loads of the busiest servers if nodes hear of each other's requests
// too rarely to know them. It also applies them here.
func (l *leader) publishedLoads(now time.Time) []dispatch.PeerLoad {
	if l.node.peers.count() <= maxLoadSharingNodes || now.Sub(l.loadsPublishedAt) < loadsPublishPeriod {
		return nil
	}
	l.loadsPublishedAt = now
	loads := l.loads.Busiest(maxPublishedLoads)
	l.node.dispatch.Do(func(core *dispatch.Core) { core.SetFleetLoads(now, l.term.Load(), loads) })
	return loads
}

// placementLogPeriod is the interval between log lines on model placement.
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

// publishCostPerNode is the interval between two of the leader's datagrams to one node, for each
// node of the fleet.
const publishCostPerNode = 2 * time.Millisecond

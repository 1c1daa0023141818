package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

const (
	// askTimeout is how long a giver's answer is waited for: twenty times the way there
	// and back. Nodes whose processor is used up take tens of milliseconds each.
	askTimeout = 100 * time.Millisecond
	// giverSilence is after how long without a word the next node gives in a giver's
	// place; givers hear each other in each period.
	giverSilence = 7 * gossipPeriod / 2
	// A giver that left mostUnanswered questions in a row without an answer is not asked
	// for unansweredTime: one late answer says little of it.
	mostUnanswered = 3
	unansweredTime = time.Second
	// givesAfter is how long a node that has just started listens before it gives: by
	// then it knows who is before it, or that there is nobody. Where all nodes start at
	// once, each would give. One that was told how large the fleet is listens for
	// givesToldAfter.
	givesAfter     = time.Second
	givesToldAfter = 300 * time.Millisecond
	// giverPatience is how long a request waits for a node that gives where this one has
	// just started, at the most half of the time that it has left.
	giverPatience = 700 * time.Millisecond
)

// quotas keeps the tenants of this node's callers below their quotas. It is safe for
// concurrent use.
type quotas struct {
	node *Node
	mu   sync.Mutex
	// giver is what this node gave as the giver, and share its own part.
	giver *quota.Giver
	share *quota.Share
	words *quota.Words
	fleet quota.Fleet
	// wasTold is set once this node was told how large the fleet is.
	wasTold bool
	waiting map[uint64]chan *peerpb.QuotaCall
	// silent are givers that did not answer.
	silent map[string]silence
	// told are the closed tenants that this node last told as the giver, and toldAt when.
	told   string
	toldAt time.Time
	// Counters for metrics.
	granted, refused, alone, unanswered atomic.Int64
}

func newQuotas(node *Node, tolerance quota.Tolerance, isFirst bool) *quotas {
	return &quotas{
		node:    node,
		giver:   quota.NewGiver(tolerance),
		share:   quota.NewShare(tolerance, isFirst),
		words:   quota.NewWords(),
		waiting: make(map[uint64]chan *peerpb.QuotaCall),
		silent:  make(map[string]silence),
	}
}

var _ relay.Quotas = (*quotas)(nil)

// Admit implements relay.Quotas.
func (q *quotas) Admit(ctx context.Context, tenant *routetable.Tenant, cost float64, priority int) relay.QuotaVerdict {
	asked := time.Now()
	nodes, _ := q.fleetSize(asked)
	if by := q.takeUnasked(asked, tenant, nodes, cost); by != "" {
		q.granted.Add(1)
		q.tellUsed(asked, tenant, cost)
		return relay.QuotaVerdict{Granted: true, By: by}
	}
	q.awaitGiver(ctx, asked)
	for _, giver := range q.node.peers.givers(time.Now()) {
		answer := q.ask(ctx, giver.Address, tenant, cost, priority)
		if answer == nil {
			continue
		}
		return q.answered(tenant, cost, nodes, giver.Address, answer)
	}
	return q.admitAlone(tenant, cost, nodes)
}

// takeUnasked grants a request of a tenant that is far below its quota, or within the
// share of this node; it returns by what, or nothing.
func (q *quotas) takeUnasked(now time.Time, tenant *routetable.Tenant, nodes int, cost float64) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.words.IsOpen(now, tenant.Name) {
		q.share.Granted(now, tenant.Name, tenant.Quota, nodes, cost)
		return "open"
	}
	if q.share.Take(now, tenant.Name, tenant.Quota, nodes, cost) {
		return "share"
	}
	return ""
}

// awaitGiver waits a moment where the node has just started and knows no other yet.
func (q *quotas) awaitGiver(ctx context.Context, asked time.Time) {
	patience := giverPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, deadline.Sub(asked)/2)
	}
	for now := asked; !q.mayGive(now) && now.Sub(asked) < patience && ctx.Err() == nil; now = time.Now() {
		if len(q.node.peers.givers(now)) > 1 {
			return
		}
		sleep(ctx, knowledgeCheck)
	}
}

// mayGive reports whether this node knows enough of the others to give.
func (q *quotas) mayGive(now time.Time) bool {
	q.mu.Lock()
	told := q.wasTold
	q.mu.Unlock()
	age := now.Sub(q.node.started)
	return age >= givesAfter || (told && age >= givesToldAfter) || len(q.node.options.Tunables.PeerSeeds) == 0
}

// answered takes a giver's word.
func (q *quotas) answered(tenant *routetable.Tenant, cost float64, nodes int, giver string, answer *peerpb.QuotaCall) relay.QuotaVerdict {
	verdict := relay.QuotaVerdict{
		Granted: answer.Kind == peerpb.QuotaCall_GRANTED, By: giver, Left: float64(answer.Left),
		RetryIn: time.Duration(answer.RetryMs) * time.Millisecond,
	}
	if !verdict.Granted {
		q.refused.Add(1)
		return verdict
	}
	q.granted.Add(1)
	q.mu.Lock()
	q.share.Granted(time.Now(), tenant.Name, tenant.Quota, nodes, cost)
	q.mu.Unlock()
	return verdict
}

// admitAlone decides where no giver answers.
func (q *quotas) admitAlone(tenant *routetable.Tenant, cost float64, nodes int) relay.QuotaVerdict {
	now := time.Now()
	q.alone.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict := relay.QuotaVerdict{By: "alone", IsUnknown: true, Left: q.share.Left(now, tenant.Name, tenant.Quota, nodes), RetryIn: unansweredTime}
	verdict.Granted = q.share.TakeAlone(now, tenant.Name, tenant.Quota, nodes, cost)
	return verdict
}

// GiveBack implements relay.Quotas.
func (q *quotas) GiveBack(tenant *routetable.Tenant, cost float64) {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mu.Lock()
	q.share.Granted(now, tenant.Name, tenant.Quota, nodes, -cost)
	q.mu.Unlock()
	q.tellUsed(now, tenant, -cost)
}

// tellUsed tells the giver what was used without asking.
func (q *quotas) tellUsed(now time.Time, tenant *routetable.Tenant, cost float64) {
	call := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_USED, Asker: q.node.options.PeerAddress, Tenant: tenant.Name, Cost: int64(cost)}
	for _, giver := range q.node.peers.givers(now) {
		if q.isSilent(now, giver.Address) {
			continue
		}
		if giver.Address == q.node.options.PeerAddress {
			q.take(call)
		} else {
			q.node.peers.sendQuota(giver.Address, call)
		}
		return
	}
}

// ask asks one giver; nil is no answer.
func (q *quotas) ask(ctx context.Context, address string, tenant *routetable.Tenant, cost float64, priority int) *peerpb.QuotaCall {
	now := time.Now()
	call := &peerpb.QuotaCall{
		Kind: peerpb.QuotaCall_ASK, Asker: q.node.options.PeerAddress, Tenant: tenant.Name, Cost: int64(cost),
		Priority: uint32(max(0, priority)),
	}
	if address == q.node.options.PeerAddress {
		return known(q.decide(now, call))
	}
	if q.isSilent(now, address) {
		return nil
	}
	call.Id = rand.Uint64()
	answers := make(chan *peerpb.QuotaCall, 1)
	q.mu.Lock()
	q.waiting[call.Id] = answers
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.waiting, call.Id)
		q.mu.Unlock()
	}()
	q.node.peers.sendQuota(address, call)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		q.mu.Lock()
		delete(q.silent, address)
		q.mu.Unlock()
		return known(answer)
	case <-ctx.Done():
		return nil
	case <-timer.C:
		q.noteSilence(time.Now(), address)
		return nil
	}
}

// known is the answer, or nil for one that cannot say.
func known(answer *peerpb.QuotaCall) *peerpb.QuotaCall {
	if answer.Kind == peerpb.QuotaCall_UNKNOWN {
		return nil
	}
	return answer
}

// silence is the questions in a row that a giver did not answer, and the last of them.
type silence struct {
	questions int
	at        time.Time
}

func (q *quotas) noteSilence(now time.Time, address string) {
	q.unanswered.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent[address] = silence{questions: q.silent[address].questions + 1, at: now}
}

func (q *quotas) isSilent(now time.Time, address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.silent[address]
	return known.questions >= mostUnanswered && now.Sub(known.at) < unansweredTime
}

// take takes a call of another node.
func (q *quotas) take(call *peerpb.QuotaCall) {
	now := time.Now()
	switch call.Kind {
	case peerpb.QuotaCall_ASK, peerpb.QuotaCall_USED:
		if better := q.better(now); better != "" && !call.Forwarded {
			call.Forwarded = true
			q.node.peers.sendQuota(better, call)
			return
		}
		answer := q.decide(now, call)
		if call.Kind == peerpb.QuotaCall_ASK {
			q.node.peers.sendQuota(call.Asker, answer)
		}
	case peerpb.QuotaCall_WORD:
		q.mu.Lock()
		q.words.Hear(now, call.Asker, call.Closed)
		q.mu.Unlock()
	default:
		q.mu.Lock()
		waiting := q.waiting[call.Id]
		q.mu.Unlock()
		if waiting != nil {
			select {
			case waiting <- call:
			default:
				// The first answer counts.
			}
		}
	}
}

// decide answers as the giver.
func (q *quotas) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Tenant: call.Tenant}
	tenant, ok := q.tenant(call.Tenant)
	if !ok || !q.mayGive(now) || q.better(now) != "" {
		return answer
	}
	_, reach := q.fleetSize(now)
	if reach < quota.LeastReach {
		return answer
	}
	defer q.speak(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	if call.Kind == peerpb.QuotaCall_USED {
		q.giver.Used(now, tenant.Name, tenant.Quota, reach, float64(call.Cost))
		return answer
	}
	verdict := q.giver.Ask(now, tenant.Name, tenant.Quota, reach, float64(call.Cost), int(call.Priority))
	answer.Kind, answer.Left = peerpb.QuotaCall_REFUSED, int64(verdict.Left)
	answer.RetryMs = uint32(min(verdict.RetryIn, longestAge).Milliseconds())
	if verdict.Granted {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}

// wordPeriod is the time between two words of a giver to all, wordShare, which counts
// for each node, bounds what that costs in large fleets; beyond some two hundred nodes
// words are older than they are believed, and the tenants' requests are asked for.
const (
	wordPeriod = gossipPeriod
	wordShare  = 2 * time.Millisecond
)

// speak lets all nodes know which tenants are near their quota: in each period, and at
// once where that changed.
func (q *quotas) speak(now time.Time) {
	if !q.node.hasQuotas() || !q.mayGive(now) || q.better(now) != "" {
		return
	}
	if _, reach := q.fleetSize(now); reach < quota.LeastReach {
		return
	}
	period := max(wordPeriod, q.node.nodes()*wordShare)
	q.mu.Lock()
	closed := q.giver.Closed()
	slices.Sort(closed)
	joined := strings.Join(closed, ",")
	due := joined != q.told || now.Sub(q.toldAt) >= period-gossipPeriod/4
	if due {
		q.told, q.toldAt = joined, now
		q.words.Hear(now, q.node.options.PeerAddress, closed)
	}
	q.mu.Unlock()
	if due {
		q.node.peers.tellAll(&peerpb.QuotaCall{Kind: peerpb.QuotaCall_WORD, Asker: q.node.options.PeerAddress, Closed: closed})
	}
}

func (q *quotas) tenant(name string) (*routetable.Tenant, bool) {
	table := q.node.handler.Table()
	if table == nil {
		return nil, false
	}
	return table.Tenant(name)
}

// better is the node that gives before this one and was heard from lately; empty where
// this node is the giver.
func (q *quotas) better(now time.Time) string {
	for _, giver := range q.node.peers.givers(now) {
		if giver.Address == q.node.options.PeerAddress {
			return ""
		}
		if now.Sub(giver.Seen) < giverSilence {
			return giver.Address
		}
	}
	return ""
}

// observe is called in each period: a giver that stood still has to notice.
func (q *quotas) observe(now time.Time) {
	isGiver := q.better(now) == ""
	q.mu.Lock()
	q.giver.Observe(now)
	q.keep(now, isGiver)
	q.mu.Unlock()
	q.speak(now)
}

// keep opens the accounts of all tenants, so that they are full when callers come. The
// lock is held.
func (q *quotas) keep(now time.Time, isGiver bool) {
	table := q.node.handler.Table()
	if table == nil || !table.HasQuotas() {
		return
	}
	counted, fresh := q.node.peers.standing(now)
	nodes, reach := q.fleet.Observe(now, counted, fresh)
	for _, tenant := range table.Tenants() {
		if !tenant.Quota.IsLimited() {
			continue
		}
		q.share.Left(now, tenant.Name, tenant.Quota, nodes)
		if isGiver {
			q.giver.Keep(now, tenant.Name, tenant.Quota, reach)
		}
	}
}

// sweep drops what is not needed: the buckets of tenants that are gone and, where
// another node gives, what this one gave before.
func (q *quotas) sweep(now time.Time) {
	isGiver := q.better(now) == ""
	q.mu.Lock()
	defer q.mu.Unlock()
	keep := func(name string) bool { _, ok := q.tenant(name); return ok }
	q.share.Prune(keep)
	if isGiver {
		q.giver.Prune(keep)
	} else {
		q.giver.Forget()
	}
}

// hasQuotas reports whether a tenant of the configuration is limited.
func (n *Node) hasQuotas() bool {
	table := n.handler.Table()
	return table != nil && table.HasQuotas()
}

// givers are the nodes that may give quotas, in order.
func (p *peers) givers(now time.Time) []gossip.Giver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Givers(now, p.node.stopping.Load())
}

// standing is how many nodes this one knew of lately, and how many it hears from.
func (p *peers) standing(now time.Time) (counted, fresh int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Standing(now)
}

// fleetSize is the number of nodes that share the quotas, and the part of them that
// this node hears from.
func (q *quotas) fleetSize(now time.Time) (nodes int, reach float64) {
	counted, fresh := q.node.peers.standing(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Observe(now, counted, fresh)
}

// toldSize takes the size that the store keeps with the lease.
func (q *quotas) toldSize(now time.Time, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.Told(now, size)
	q.wasTold = q.wasTold || size > 0
}

// learnsSize is how long after its start a node takes the size of the fleet from
// others: later it knows itself, and would never see the fleet shrink.
const learnsSize = 30 * time.Second

func (q *quotas) heardSize(now time.Time, size int) {
	if now.Sub(q.node.started) < learnsSize {
		q.toldSize(now, size)
	}
}

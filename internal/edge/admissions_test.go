package edge

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newColdNode returns a node that receives datagrams and has run for a while, with a service
// whose cold servers accept 12 requests a second.
func newColdNode(t *testing.T, strength uint32) *Node {
	t.Helper()
	node := newQuotaNode(t, strength)
	node.options.ColdOverage, node.options.ColdSlack = 1.5, 5
	node.options.Tunables.PeerSeeds = []string{"126.0.0.9:1"}
	node.started = clock.Now().Add(-10 * time.Second)
	node.admissions = newAdmissions(node)
	node.admissions.learnFleetSize(1)
	node.activateTable(coldTable(12), "read")
	return node
}

func coldTable(perSecond float64) *routetable.Table {
	return routetable.New(3, nil, []routetable.Service{
		{Name: "s", ColdStart: routetable.ColdStart{Time: 3 * time.Second, PerSecond: perSecond}}, {Name: "plain"},
	}, routetable.Limits{})
}

func receiveServer(node *Node, server inventory.Server) {
	server.Address, server.Zone = "127.0.0.1:1", "z"
	node.receivePeerChanges(clock.Now(), decodeChanges(encodeChanges([]gossip.ServerChange{{Server: server}})))
}

// countAdmitted returns how many of the requests the node admits to a server now.
func countAdmitted(node *Node, serverID string, requests int) int {
	count := 0
	for range requests {
		if node.admissions.Admit(context.Background(), inventory.Start{ID: serverID}, relay.AdmissionRequest{}).Granted {
			count++
		}
	}
	return count
}

// phaseOf returns the phase that the node assumes for a server without a known start.
func phaseOf(node *Node, serverID string) admission.Phase {
	return node.admissions.limitsOf(clock.Now(), inventory.Start{ID: serverID}).phase
}

// TestServerHeardOfAsNewsIsCold checks that a server announced by a peer counts as cold unless
// the announcement says otherwise.
func TestServerHeardOfAsNewsIsCold(t *testing.T) {
	node := newColdNode(t, 1)
	receiveServer(node, inventory.Server{ID: "silent", Service: "s", Position: storepos.At(0, 4)})
	receiveServer(node, inventory.Server{ID: "warm", Service: "s", Position: storepos.At(0, 5), ReportsCold: true})
	receiveServer(node, inventory.Server{ID: "cold", Service: "s", Position: storepos.At(0, 6), ReportsCold: true, ColdRemaining: 2 * time.Second})
	receiveServer(node, inventory.Server{ID: "plain", Service: "plain", Position: storepos.At(0, 7)})
	for id, want := range map[string]admission.Phase{"silent": admission.Cold, "warm": admission.Warm, "cold": admission.Cold, "plain": admission.Warm} {
		if got := phaseOf(node, id); got != want {
			t.Errorf("%s: phase %d, want %d", id, got, want)
		}
	}
	node.applyServerChanges([]inventory.Change{{Server: inventory.Server{ID: "silent", Service: "s", Position: storepos.At(0, 8), ReportsCold: true}}}, "watch")
	if got := phaseOf(node, "silent"); got == admission.Cold {
		t.Error("server is cold although its entry says otherwise")
	}
}

// TestKnownServerThatTurnsColdIsNews checks that a known server which turns cold is announced to
// peers, because the store's entries are read only once a second.
func TestKnownServerThatTurnsColdIsNews(t *testing.T) {
	reader, node := newColdNode(t, 2), newColdNode(t, 1)
	known := inventory.Server{ID: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, 4), ReportsCold: true}
	for _, each := range []*Node{reader, node} {
		each.applyServerList(clock.Now(), []inventory.Server{known}, storepos.At(0, 4))
	}
	known.Position, known.ColdRemaining = storepos.At(0, 6), 2*time.Second
	reader.applyServerEvents([]inventory.Change{{Server: known}}, storepos.At(0, 6))
	node.receivePeerChanges(clock.Now(), decodeChanges(encodeChanges(reader.directory.takeDue(clock.Now()))))
	for name, each := range map[string]*Node{"reader": reader, "receiver": node} {
		if got := phaseOf(each, "a"); got != admission.Cold {
			t.Errorf("%s: phase %d, want cold", name, got)
		}
	}
	if changes := node.directory.takeDue(clock.Now()); len(changes) != 1 || changes[0].Server.ColdRemaining == 0 {
		t.Errorf("forwarded %+v, want the cold server", changes)
	}
}

// TestSnapshotTellsWhatIsCold checks that a snapshot contains the remaining cold time as of now,
// and leaves it unset where it is unknown.
func TestSnapshotTellsWhatIsCold(t *testing.T) {
	peer := newColdNode(t, 1)
	peer.applyServerList(clock.Now(), []inventory.Server{
		{ID: "cold", Service: "s", Position: storepos.At(0, 4), ReportsCold: true, ColdRemaining: 2 * time.Second},
		{ID: "warm", Service: "s", Position: storepos.At(0, 4), ReportsCold: true},
		{ID: "silent", Service: "s", Position: storepos.At(0, 4)},
	}, storepos.At(0, 4))
	time.Sleep(20 * time.Millisecond)
	response, err := peer.snapshots.Snapshot(context.Background(), &peerpb.SnapshotRequest{})
	if err != nil {
		t.Fatal(err)
	}
	for _, server := range decodeEntries(response.Servers, 0) {
		remaining, reported := server.ColdRemaining, server.ReportsCold
		switch server.ID {
		case "cold":
			if !reported || remaining <= 0 || remaining > 1990*time.Millisecond {
				t.Errorf("cold for %v, %v", remaining, reported)
			}
		default:
			if remaining != 0 || reported != (server.ID == "warm") {
				t.Errorf("%s: cold for %v, %v", server.ID, remaining, reported)
			}
		}
	}
}

// TestColdServerReceivesWhatTheCoordinatorGrants checks that two nodes together send a cold
// server no more than the coordinator grants.
func TestColdServerReceivesWhatTheCoordinatorGrants(t *testing.T) {
	coordinator, asker := newColdNode(t, 900), newColdNode(t, 100)
	introduce(coordinator, asker)
	for _, each := range []*Node{coordinator, asker} {
		receiveServer(each, inventory.Server{ID: "a", Service: "s", Position: storepos.At(0, 4)})
		receiveServer(each, inventory.Server{ID: "warm", Service: "s", Position: storepos.At(0, 4), ReportsCold: true})
	}
	began, granted := clock.Now(), 0
	for clock.Since(began) < time.Second {
		granted += countAdmitted(asker, "a", 1) + countAdmitted(coordinator, "a", 1)
		time.Sleep(5 * time.Millisecond)
	}
	if granted < 3 || granted > 12 {
		t.Errorf("%d granted in a second, want 3 to 12", granted)
	}
	if got := countAdmitted(asker, "warm", 100); got != 100 {
		t.Errorf("%d of 100 granted at a warm server", got)
	}
	coordinator.started = clock.Now()
	coordinator.admissions.warmUps.Forget()
	if got := countAdmitted(asker, "a", 20); got != 0 {
		t.Errorf("%d granted by a node that has just started, want 0", got)
	}
}

// TestNodeWithoutACoordinatorUsesLots checks that without a coordinator few of many nodes send
// one request each, and that a node which never received the fleet size sends none.
func TestNodeWithoutACoordinatorUsesLots(t *testing.T) {
	node := newColdNode(t, 1)
	dead, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	address := dead.LocalAddr().String()
	_ = dead.Close()
	node.peers.handleState(&peerpb.NodeState{Node: "p", Address: address, Life: 1, Sequence: 1, Strength: 900})
	for i := range 200 {
		id := "server-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		receiveServer(node, inventory.Server{ID: id, Service: "s", Position: storepos.At(0, int64(4+i))})
	}
	node.admissions.fleetSizeReceived.Store(false)
	sent := func() int {
		count := 0
		for i := range 200 {
			count += countAdmitted(node, "server-"+string(rune('a'+i%26))+string(rune('a'+i/26)), 2)
		}
		return count
	}
	if got := sent(); got != 0 {
		t.Errorf("%d sent by a node that does not know the fleet size, want 0", got)
	}
	node.quotas.raiseFleetSize(clock.Now(), 68)
	node.admissions.learnFleetSize(68)
	// The allowance is derived from the node's address: this one may send to two of the servers.
	node.admissions.warmUpFallback = admission.NewWarmUpFallback("10.0.0.4:1")
	if got := sent(); got != 2 {
		t.Errorf("%d of 400 sent by one of 68 nodes, want one for each server in its allowance", got)
	}
}

// TestRateOfNoughtSendsNothing checks that a rate of 0 admits nothing to a cold server.
func TestRateOfNoughtSendsNothing(t *testing.T) {
	node := newColdNode(t, 1)
	node.options.Tunables.PeerSeeds = nil
	table := coldTable(0)
	table.Version = 9
	node.activateTable(table, "read")
	receiveServer(node, inventory.Server{ID: "a", Service: "s", Position: storepos.At(0, 4)})
	time.Sleep(300 * time.Millisecond)
	if got := countAdmitted(node, "a", 20); got != 0 {
		t.Errorf("%d sent, want 0", got)
	}
	if verdict := node.admissions.Admit(context.Background(), inventory.Start{ID: "a"}, relay.AdmissionRequest{}); verdict.RetryAfter < 2*time.Second {
		t.Errorf("retry after %v, although the server is cold for longer", verdict.RetryAfter)
	}
}

// TestColdTimeOnTheWire checks that out-of-range cold times are clamped.
func TestColdTimeOnTheWire(t *testing.T) {
	if _, reported := decodeColdRemaining(encodeColdRemaining(time.Second, false)); reported {
		t.Error("an unknown cold time was reported")
	}
	for remaining, want := range map[time.Duration]time.Duration{-time.Hour: 0, 0: 0, time.Second: time.Second, time.Hour: admission.MaxColdTime} {
		if got, reported := decodeColdRemaining(encodeColdRemaining(remaining, true)); !reported || got != want {
			t.Errorf("%v: %v, %v", remaining, got, reported)
		}
	}
	if got, _ := decodeColdRemaining(1<<32 - 1); got != admission.MaxColdTime {
		t.Errorf("maximum encoded value: got %v", got)
	}
}

// TestEndOfAnEvacuationMakesItsServersCold checks that servers count as possibly cold after an
// evacuation ends, until an entry newer than its end says otherwise, and that peers are
// meanwhile sent no cold time.
func TestEndOfAnEvacuationMakesItsServersCold(t *testing.T) {
	node := newColdNode(t, 1)
	inZone := inventory.Server{ID: "a", Service: "s", Zone: "y", Position: storepos.At(0, 4), ReportsCold: true}
	elsewhere := inventory.Server{ID: "b", Service: "s", Zone: "z", Position: storepos.At(0, 4), ReportsCold: true}
	node.applyServerList(clock.Now(), []inventory.Server{inZone, elsewhere}, storepos.At(0, 4))
	node.evacuations.applyPeerList(evacuation.Snapshot{Zones: []string{"y"}, Position: storepos.At(0, 5)}, "test", 0)
	node.evacuations.applyPeerList(evacuation.Snapshot{Position: storepos.At(0, 9)}, "test", 0)
	phaseOf := func(id string) admission.Phase {
		phase := phaseOf(node, id)
		return phase
	}
	if a, b := phaseOf("a"), phaseOf("b"); a != admission.Cold || b != admission.Warm {
		t.Errorf("phases %d and %d, want cold in the zone alone", a, b)
	}
	inZone.Position = storepos.At(0, 8)
	node.applyServerEvents([]inventory.Change{{Server: inZone}}, storepos.At(0, 9))
	if phaseOf("a") != admission.Cold {
		t.Error("an entry older than the evacuation's end made the server warm")
	}
	if servers := node.admissions.withColdState(clock.Now(), []inventory.Server{inZone}); servers[0].ReportsCold {
		t.Error("a peer was sent an unknown cold time")
	}
	inZone.Position = storepos.At(0, 10)
	node.applyServerEvents([]inventory.Change{{Server: inZone}}, storepos.At(0, 10))
	if phaseOf("a") == admission.Cold {
		t.Error("server is cold although a newer entry says otherwise")
	}
}

// TestPartOfAFleetGrantsNothing guards against over-granting after a restart during a partition:
// nodes that have all just started and hear only each other may be one part of a fleet, and each
// part would grant the full rate. One node that knows the fleet size is enough to grant.
func TestPartOfAFleetGrantsNothing(t *testing.T) {
	coordinator, asker := newColdNode(t, 900), newColdNode(t, 100)
	for _, each := range []*Node{coordinator, asker} {
		each.admissions.fleetSizeReceived.Store(false)
		receiveServer(each, inventory.Server{ID: "a", Service: "s", Position: storepos.At(0, 4)})
	}
	introduce(coordinator, asker)
	countAdmitted(asker, "a", 1) // opens the account if there is one
	time.Sleep(300 * time.Millisecond)
	if got := countAdmitted(asker, "a", 5); got != 0 {
		t.Errorf("%d granted although no node knows the fleet size", got)
	}
	asker.admissions.learnFleetSize(68)
	state := asker.peers.state(clock.Now())
	state.Sequence = 2
	coordinator.peers.handleState(state)
	coordinator.admissions.observe(clock.Now())
	countAdmitted(asker, "a", 1) // opens the account
	time.Sleep(300 * time.Millisecond)
	if got := countAdmitted(asker, "a", 5); got == 0 {
		t.Error("nothing granted although a node knows the fleet size")
	}
}

// TestGrantCountsFromItsQuestion checks that a grant's lifetime starts with its own request.
// When it started before the calls to an unresponsive coordinator, the grant had expired on
// arrival and was requested again.
func TestGrantCountsFromItsQuestion(t *testing.T) {
	silent, coordinator, asker := newColdNode(t, 900), newColdNode(t, 500), newColdNode(t, 100)
	receiveServer(asker, inventory.Server{ID: "a", Service: "s", Position: storepos.At(0, 4)})
	receiveServer(coordinator, inventory.Server{ID: "a", Service: "s", Position: storepos.At(0, 4)})
	introduce(silent, asker)
	introduce(coordinator, asker)
	_ = silent.peers.conn.Close()
	countAdmitted(asker, "a", 1) // opens the account
	time.Sleep(300 * time.Millisecond)
	verdict := asker.admissions.Admit(context.Background(), inventory.Start{ID: "a"}, relay.AdmissionRequest{})
	if left := clock.Until(verdict.ValidUntil); !verdict.Granted || left < admission.GrantLifetime-askTimeout/2 {
		t.Errorf("%+v, usable for only %v", verdict, left)
	}
}

// receiveRateLimit lets the node receive a rate limit from a server itself.
func receiveRateLimit(node *Node, start inventory.Start, perSecond float64) {
	now := clock.Now()
	node.hints.receiveFromCall(start, inventory.Hint{Limit: inventory.NewRateLimit(perSecond), SentAt: now}, hintFromAnswer)
}

// TestLimitedServersAreGrantedByTheCoordinator checks that a coordinator which does not know the
// limit uses the requester's, that an unused grant can be returned, and that the requester
// learns when the limit has ended.
func TestLimitedServersAreGrantedByTheCoordinator(t *testing.T) {
	coordinator, asker := newColdNode(t, 900), newColdNode(t, 100)
	start := inventory.Start{ID: "a", StartedAtMs: 7}
	for _, node := range []*Node{coordinator, asker} {
		receiveServer(node, inventory.Server{ID: "a", StartedAtMs: 7, Service: "plain", Position: storepos.At(0, 4), ReportsCold: true})
	}
	introduce(coordinator, asker)
	ask := func() relay.AdmissionDecision {
		return asker.admissions.Admit(context.Background(), start, relay.AdmissionRequest{})
	}
	if !ask().Granted || coordinator.admissions.limitedAdmitted.Load() > 0 {
		t.Fatal("a server without a limit required a grant")
	}
	const perSecond = 10
	receiveRateLimit(asker, start, perSecond)
	opened := time.Now()
	ask() // opens the account
	time.Sleep(150 * time.Millisecond)
	first, last, granted := ask(), relay.AdmissionDecision{Granted: true}, 0
	for last.Granted && granted < 100 {
		granted++
		last = ask()
	}
	if allowed := perSecond * time.Since(opened).Seconds(); !first.Granted || first.GrantedBy == "" || last.RetryAfter <= 0 || float64(granted) > allowed {
		t.Fatalf("the limit allows %.2f requests, %d were granted: first %+v, last %+v", allowed, granted, first, last)
	}
	asker.admissions.ReturnGrant(start, first)
	time.Sleep(20 * time.Millisecond)
	if !ask().Granted {
		t.Error("a returned grant was not granted again")
	}
	now := clock.Now()
	coordinator.hints.receiveFromCall(start, inventory.Hint{Limit: inventory.RateLimit{Kind: inventory.RateLimitNone}, SentAt: now}, hintFromAnswer)
	if !ask().Granted || asker.admissions.limitsOf(clock.Now(), start).isLimited {
		t.Error("the requester did not learn that the limit has ended")
	}
}

// newLimitedServer returns a coordinator and a node that asks it, which know a warm server with a limit whose
// account was open for the given time.
func newLimitedServer(t *testing.T, perSecond float64, open time.Duration) (coordinator, asker *Node, start inventory.Start) {
	t.Helper()
	coordinator, asker = newColdNode(t, 900), newColdNode(t, 100)
	start = inventory.Start{ID: "a", StartedAtMs: 7}
	for _, node := range []*Node{coordinator, asker} {
		receiveServer(node, inventory.Server{ID: "a", StartedAtMs: 7, Service: "plain", Position: storepos.At(0, 4), ReportsCold: true})
	}
	introduce(coordinator, asker)
	receiveRateLimit(asker, start, perSecond)
	asker.admissions.Admit(context.Background(), start, relay.AdmissionRequest{})
	time.Sleep(open)
	return coordinator, asker, start
}

// TestStreamThatGoesOnNeedsOneGrant guards against refusing streams that go on more often than new ones at
// a limited server: the send and the question for the server's start are granted as one, and charged as two.
func TestStreamThatGoesOnNeedsOneGrant(t *testing.T) {
	_, asker, start := newLimitedServer(t, 10, 150*time.Millisecond)
	goingOn := relay.AdmissionRequest{IsGoingOn: true, WithStartQuestion: true}
	first := asker.admissions.Admit(context.Background(), start, goingOn)
	if !first.Granted || !first.CoversStartQuestion {
		t.Fatalf("%+v, want a grant that covers both calls", first)
	}
	second := asker.admissions.Admit(context.Background(), start, goingOn)
	if second.Granted || second.CoversStartQuestion || second.RetryAfter <= 0 {
		t.Errorf("%+v, want a denial until what was granted in advance is earned", second)
	}
}

// TestStreamThatGoesOnRanksBeforeNewOnes checks that a stream that has begun is granted a little ahead of
// the rate, where a new one is not.
func TestStreamThatGoesOnRanksBeforeNewOnes(t *testing.T) {
	_, asker, start := newLimitedServer(t, 2, 300*time.Millisecond)
	if got := asker.admissions.Admit(context.Background(), start, relay.AdmissionRequest{}); got.Granted {
		t.Fatalf("%+v, want a denial of a new request", got)
	}
	if got := asker.admissions.Admit(context.Background(), start, relay.AdmissionRequest{IsGoingOn: true}); !got.Granted {
		t.Errorf("%+v, want a grant for a stream that goes on", got)
	}
}

// TestCallsOfAGrantAreBounded checks that what a peer claims a grant covers is charged as no more than a
// request and a question, and that an answer of an older build covers the request alone.
func TestCallsOfAGrantAreBounded(t *testing.T) {
	for cost, want := range map[int64]int64{math.MinInt64: 1, -1: 1, 0: 1, 1: 1, 2: 2, 3: 2, math.MaxInt64: 2} {
		if got := grantedCalls(&peerpb.QuotaCall{Cost: cost}); got != want {
			t.Errorf("a cost of %d is granted as %d calls, want %d", cost, got, want)
		}
	}
	now, start := clock.Now(), inventory.Start{ID: "a", StartedAtMs: 7}
	request := grantRequest(now, start, serverLimits{isLimited: true}, relay.AdmissionRequest{WithStartQuestion: true})
	if request.Cost != callsWithQuestion || grantRequest(now, start, serverLimits{}, relay.AdmissionRequest{}).Cost != 1 {
		t.Errorf("%+v, want the cost of both calls", request)
	}
}

// TestRefusalIsNotGivenBack checks that only grants are returned: returning a refusal would let
// one extra request reach a rate-limited server.
func TestRefusalIsNotGivenBack(t *testing.T) {
	coordinator, asker := newColdNode(t, 900), newColdNode(t, 100)
	start := inventory.Start{ID: "a", StartedAtMs: 7}
	for _, node := range []*Node{coordinator, asker} {
		receiveServer(node, inventory.Server{ID: "a", StartedAtMs: 7, Service: "plain", Position: storepos.At(0, 4), ReportsCold: true})
	}
	introduce(coordinator, asker)
	receiveRateLimit(asker, start, 1)
	asker.admissions.AdmitInternalCall(context.Background(), start, internalCall) // opens the account
	for range 5 {
		verdict := asker.admissions.AdmitInternalCall(context.Background(), start, internalCall)
		if verdict.Granted || verdict.GrantedBy != coordinator.options.PeerAddress {
			t.Fatalf("%+v, want a refusal by the coordinator", verdict)
		}
		asker.admissions.ReturnGrant(start, verdict)
	}
	if given := asker.admissions.returnedGrants.Load(); given != 0 {
		t.Errorf("%d refusals were returned", given)
	}
}

// TestColdAndLimitedServerTakesTheLeast checks that the lower of both bounds applies, and that
// the system's own calls count against the rate limit alone.
func TestColdAndLimitedServerTakesTheLeast(t *testing.T) {
	node := newColdNode(t, 1)
	start := inventory.Start{ID: "a", StartedAtMs: 7}
	receiveServer(node, inventory.Server{ID: "a", StartedAtMs: 7, Service: "s", Position: storepos.At(0, 4)})
	receiveRateLimit(node, start, 1)
	granted := func(admit func() relay.AdmissionDecision) (count int) {
		for range 30 {
			if admit().Granted {
				count++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return count
	}
	request := func() relay.AdmissionDecision {
		return node.admissions.Admit(context.Background(), start, relay.AdmissionRequest{})
	}
	call := func() relay.AdmissionDecision {
		return node.admissions.AdmitInternalCall(context.Background(), start, internalCall)
	}
	if got := granted(request) + granted(call); got > 1 {
		t.Errorf("%d granted in 1.2 s at 1 a second", got)
	}
	receiveServer(node, inventory.Server{ID: "nought", StartedAtMs: 7, Service: "s", Position: storepos.At(0, 5)})
	node.activateTable(coldTable(0), "read")
	if node.admissions.Admit(context.Background(), inventory.Start{ID: "nought", StartedAtMs: 7}, relay.AdmissionRequest{}).Granted {
		t.Error("a request was admitted to a cold server with a rate of 0")
	}
}

// TestBadLimitsOfPeersAreDropped checks that invalid limits, from another build or a damaged
// datagram, are ignored.
func TestBadLimitsOfPeersAreDropped(t *testing.T) {
	node := newColdNode(t, 1)
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		limit := &peerpb.RateLimit{Named: true, PerSecond: perSecond, SentAgeMs: 1}
		node.hints.receiveFromPeer(clock.Now(), []*peerpb.ServerWord{{Server: "a", Born: 7, Limit: limit}})
		node.admissions.decide(clock.Now(), &peerpb.QuotaCall{Kind: peerpb.QuotaCall_ASK, Server: "a", Born: 7, Cost: 1, Warm: true, Limit: limit})
		if node.admissions.limitsOf(clock.Now(), inventory.Start{ID: "a", StartedAtMs: 7}).isLimited {
			t.Errorf("%v a second was accepted as a limit", perSecond)
		}
	}
	for _, call := range []*peerpb.QuotaCall{
		{Kind: peerpb.QuotaCall_USED, Server: "a", Born: 7, Cost: -1e9, Warm: true},
		{Kind: peerpb.QuotaCall_USED, Server: "a", Cost: 5},
		{Kind: peerpb.QuotaCall_ASK, Server: "unknown", Warm: true, Cost: 1},
	} {
		node.admissions.decide(clock.Now(), call)
	}
}

package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placer"
	"github.com/spanlanding/spanlanding/internal/relay"
)

const (
	// originsPerDatagram bounds the origins of one datagram to about 1,000 bytes.
	originsPerDatagram = 16
	// originRefreshPeriod is how often the origin of a stream in progress is sent again while its
	// service runs several software versions: keepers may have ended, and others taken their place.
	originRefreshPeriod = 2 * time.Second
	// originAskTimeout is how long a node's answer is awaited before it is asked again, and
	// originAsks how often it is asked.
	originAskTimeout = 60 * time.Millisecond
	originAsks       = 2
	// maxAskedKeepers is the number of nodes that are asked in fleets of more than
	// maxLoadSharingNodes. Nodes differ in whom they take to be alive.
	maxAskedKeepers = 4 * origins.Copies
)

// streamOrigins remembers where streams began, for this node and as a keeper for others. It is safe for
// concurrent use.
type streamOrigins struct {
	node *Node
	// live tells which starts answer on open connections.
	live *origins.LiveStarts

	mu    sync.Mutex
	table *origins.Table
	// starts tells which origins are certain.
	starts *origins.Starts
	// inProgress holds the streams that this node passes on, and when the origin of each was last sent;
	// repeats are those whose origin is sent again in the next period.
	inProgress map[origins.Key]time.Time
	repeats    []origins.Key
	// handedTo holds the nodes that all origins were handed to since this one began to stop.
	handedTo map[origins.Member]bool
	// pending holds this node's questions to others.
	pending *pendingCalls[*peerpb.OriginCall]
	// checkpoints keeps origins in the store.
	checkpoints *originCheckpoints
}

var _ relay.Origins = (*streamOrigins)(nil)

func newStreamOrigins(node *Node) *streamOrigins {
	return &streamOrigins{
		node: node, live: origins.NewLiveStarts(), table: origins.NewTable(), starts: origins.NewStarts(dispatch.VersionSettleTime),
		inProgress: make(map[origins.Key]time.Time), pending: newPendingCalls[*peerpb.OriginCall](), checkpoints: newOriginCheckpoints(node),
	}
}

// Record implements relay.Origins. A datagram that was written arrives although this process ends; where
// several versions serve it is sent again, since any may be lost.
func (o *streamOrigins) Record(entry origins.Entry) {
	now := clock.Now()
	isMixed := len(o.recentVersions(now, entry.Origin.Service)) > 1
	o.mu.Lock()
	_, isKnown := o.table.Find(now, entry.Key)
	o.table.Put(now, entry)
	isConfirmation := isKnown && entry.IsCertain
	if _, isInProgress := o.inProgress[entry.Key]; isInProgress || !isConfirmation {
		// A confirmation may come after the stream's end.
		o.inProgress[entry.Key] = now
	}
	if isMixed && !isConfirmation {
		o.repeats = append(o.repeats, entry.Key)
	}
	o.mu.Unlock()
	o.checkpoints.markChanged(entry.Key)
	o.send(now, []origins.Entry{entry})
	if isMixed {
		o.sendToWriter(now, entry)
	}
}

// sendToWriter sends the origin to the node that writes it to the store, unless it is one of those that keep it.
func (o *streamOrigins) sendToWriter(now time.Time, entry origins.Entry) {
	writer := o.checkpoints.writer(now, entry.Key)
	if writer == "" || writer == o.node.peers.address || slices.Contains(origins.Keepers(entry.Key, o.node.peers.members(now), origins.Copies), writer) {
		return
	}
	o.node.peers.sendMessage(trafficOrigins, []string{writer}, &peerpb.NodeState{Origins: encodeOrigins(now, o.review([]origins.Entry{entry}))})
}

// End implements relay.Origins.
func (o *streamOrigins) End(key origins.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inProgress, key)
}

func (o *streamOrigins) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Size()
}

// recentVersions returns the software versions that this node saw in the service lately.
func (o *streamOrigins) recentVersions(now time.Time, service string) (versions []string) {
	o.node.dispatch.Do(func(core *dispatch.Core) { versions = core.RecentVersions(now, service) })
	return versions
}

// send sends each origin to the nodes that keep it.
func (o *streamOrigins) send(now time.Time, entries []origins.Entry) {
	if len(entries) > 0 {
		o.sendTo(now, entries, o.node.peers.members(now), func(string) bool { return true })
	}
}

// sendTo sends each origin to those of the members that keep it and are wanted.
func (o *streamOrigins) sendTo(now time.Time, entries []origins.Entry, members []origins.Member, isWanted func(address string) bool) {
	entries = o.review(entries)
	byKeeper := make(map[string][]*peerpb.StreamOrigin)
	for _, entry := range entries {
		encoded := encodeOrigin(now, entry)
		for _, keeper := range origins.Keepers(entry.Key, members, origins.Copies) {
			if isWanted(keeper) {
				byKeeper[keeper] = append(byKeeper[keeper], encoded)
			}
		}
	}
	for keeper, encoded := range byKeeper {
		for batch := range slices.Chunk(encoded, originsPerDatagram) {
			o.node.peers.sendMessage(trafficOrigins, []string{keeper}, &peerpb.NodeState{Origins: batch})
		}
	}
}

// review returns the entries, without the versions that are uncertain by what this node knows.
func (o *streamOrigins) review(entries []origins.Entry) []origins.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	reviewed := make([]origins.Entry, 0, len(entries))
	for _, entry := range entries {
		reviewed = append(reviewed, o.starts.Review(entry))
	}
	return reviewed
}

// observeServers records changes of the servers' entries.
func (o *streamOrigins) observeServers(now time.Time, changes []inventory.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range changes {
		server := change.Server
		switch {
		case change.Gone:
			o.starts.ObserveGone(now, server.ID)
		case server.SoftwareVersion != "":
			o.starts.Observe(now, server.Start(), server.SoftwareVersion)
		}
	}
}

// receive keeps the origins that another node sends.
func (o *streamOrigins) receive(now time.Time, encoded []*peerpb.StreamOrigin) {
	if len(encoded) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, one := range encoded {
		if entry, ok := decodeOrigin(now, one); ok {
			o.table.Put(now, entry)
			o.checkpoints.markChanged(entry.Key)
		}
	}
}

// tick repeats what was sent in the last period, and what this node passes on for longer.
func (o *streamOrigins) tick(now time.Time) {
	o.mu.Lock()
	keys := o.repeats
	o.repeats = nil
	for key, sentAt := range o.inProgress {
		if _, ok := o.table.Find(now, key); !ok {
			delete(o.inProgress, key)
		} else if now.Sub(sentAt) >= originRefreshPeriod {
			o.inProgress[key] = now
			keys = append(keys, key)
		}
	}
	var due []origins.Entry
	for _, key := range keys {
		if entry, ok := o.table.Find(now, key); ok {
			due = append(due, entry)
		}
	}
	o.mu.Unlock()
	due = o.ofMixedServices(now, due)
	o.send(now, due)
	for _, entry := range due {
		o.sendToWriter(now, entry)
	}
	if o.node.stopping.Load() {
		o.handToNewcomers(now)
	}
}

// ofMixedServices returns the origins in services that run several software versions. In others an
// origin that is lost does no harm.
func (o *streamOrigins) ofMixedServices(now time.Time, entries []origins.Entry) []origins.Entry {
	isMixed := make(map[string]bool)
	return slices.DeleteFunc(entries, func(entry origins.Entry) bool {
		service := entry.Origin.Service
		if _, ok := isMixed[service]; !ok {
			isMixed[service] = len(o.recentVersions(now, service)) > 1
		}
		return !isMixed[service]
	})
}

// handOff sends all that this node keeps to the nodes that keep it from now on: when this node begins to stop,
// and when it ends.
func (o *streamOrigins) handOff(now time.Time) {
	o.hand(now, func(origins.Member) bool { return true })
}

// handToNewcomers sends what this node keeps to nodes that it has not been handed to. While all nodes are
// restarted in turn, those that know where streams began may end before any that stays has started.
func (o *streamOrigins) handToNewcomers(now time.Time) {
	o.mu.Lock()
	handedTo := o.handedTo
	o.mu.Unlock()
	o.hand(now, func(member origins.Member) bool { return !handedTo[member] })
}

// hand sends all that this node keeps to those of its keepers that are wanted.
func (o *streamOrigins) hand(now time.Time, isWanted func(member origins.Member) bool) {
	members := o.node.peers.members(now)
	wanted, handedTo := make(map[string]bool), make(map[origins.Member]bool)
	for _, member := range members {
		wanted[member.Address] = isWanted(member)
		handedTo[member] = true
	}
	o.mu.Lock()
	o.handedTo = handedTo
	entries := o.table.All(now)
	o.mu.Unlock()
	if !slices.Contains(slices.Collect(maps.Values(wanted)), true) {
		return
	}
	entries = o.ofMixedServices(now, entries)
	o.sendTo(now, entries, members, func(address string) bool { return wanted[address] })
	if len(entries) > 0 {
		o.node.options.Logger.Info().Int("streams", len(entries)).Int("nodes", len(members)).Msg("stream_origins_handed_off")
	}
}

func (o *streamOrigins) sweep(now time.Time) {
	hasObserved := o.node.history.hasObservedLongEnough(now)
	o.live.Sweep(now)
	o.checkpoints.sweep(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Sweep(now)
	if hasObserved {
		o.table.ForgetDropped()
	}
	o.starts.Sweep(now)
}

// currentStart asks a model server for its current start.
func (o *streamOrigins) currentStart(ctx context.Context, question relay.StartQuestion) relay.StartAnswer {
	start, leader := question.Start, o.node.leader
	call := placer.ReportRequest{ServerID: start.ID, StartedAtMs: start.StartedAtMs, Address: question.Address}
	admitted := question.Admitted
	if !leader.mayCallServer(start, admitted) {
		o.node.admissions.ReturnGrant(start, admitted)
		admitted = o.node.admissions.AdmitInternalCall(ctx, start, question.Admission)
	}
	report, err := leader.askForReport(ctx, call, admitted)
	answer := relay.StartAnswer{Outcome: startOutcome(err), Start: inventory.Start{ID: start.ID, StartedAtMs: report.StartedAtMs}}
	if answer.Outcome == relay.StartNotAdmitted {
		answer.RetryAfter = admitted.RetryAfter
	}
	return answer
}

// startOutcome says what the error of a report tells of its server.
func startOutcome(err error) relay.StartOutcome {
	switch {
	case err == nil:
		return relay.StartTold
	case errors.Is(err, errCallNotAdmitted):
		return relay.StartNotAdmitted
	case backendconn.IsRefused(err):
		return relay.StartServerDown
	default:
		return relay.StartUnanswered
	}
}

// Find implements relay.Origins. What the nodes that live know decides; the store is asked for the rest. A node
// that has just started may not know yet whom to ask.
func (o *streamOrigins) Find(ctx context.Context, key origins.Key, service string) relay.OriginAnswer {
	answer := o.findNow(ctx, key, service)
	if answer.IsKnown || answer.HasOneVersion() || !answer.IsHistoryKnown {
		// A record that is written meanwhile names what serves now, and would be taken for what served before.
		return answer
	}
	hasWaited := o.node.history.awaitPeers(ctx)
	if isProven := o.node.history.witness.prove(ctx, service); isProven || hasWaited {
		return o.findNow(ctx, key, service)
	}
	return answer
}

func (o *streamOrigins) findNow(ctx context.Context, key origins.Key, service string) relay.OriginAnswer {
	answer := o.findAtNodes(ctx, key, service)
	if answer.Entry.Origin.SoftwareVersion != "" {
		return answer
	}
	if !answer.IsHistoryKnown {
		answer = o.recallVersions(ctx, service, answer)
	}
	if answer.IsKnown || answer.HasOneVersion() {
		return answer
	}
	return o.recallOrigin(ctx, key, answer)
}

// findAtNodes returns what this node knows about the beginning of a stream or, if it does not, what others do.
func (o *streamOrigins) findAtNodes(ctx context.Context, key origins.Key, service string) relay.OriginAnswer {
	now := clock.Now()
	o.mu.Lock()
	entry, ok := o.table.Find(now, key)
	entry = o.starts.Review(entry)
	o.mu.Unlock()
	if !ok {
		return o.askPeers(ctx, now, key, service)
	}
	return relay.OriginAnswer{
		Entry: entry, IsKnown: true, Source: relay.OriginHere,
		Versions: o.recentVersions(now, entry.Origin.Service), IsHistoryKnown: o.node.history.isKnown(now, entry.Origin.Service),
	}
}

// recallOrigin adds to the answer where the stream began, if that is in the store.
func (o *streamOrigins) recallOrigin(ctx context.Context, key origins.Key, answer relay.OriginAnswer) relay.OriginAnswer {
	if o.node.options.Checkpoints == nil {
		return answer
	}
	entry, ok, err := o.checkpoints.find(ctx, key)
	switch {
	case err != nil:
		answer.IsPartial = true
	case ok:
		answer.Entry, answer.IsKnown, answer.Source = o.review([]origins.Entry{entry})[0], true, relay.OriginFromStore
	}
	return answer
}

// FindVersions implements relay.Origins.
func (o *streamOrigins) FindVersions(ctx context.Context, service string) relay.OriginAnswer {
	now := clock.Now()
	answer := relay.OriginAnswer{Versions: o.recentVersions(now, service), IsHistoryKnown: o.node.history.isKnown(now, service)}
	if answer.IsHistoryKnown {
		return answer
	}
	return o.recallVersions(ctx, service, answer)
}

// recallVersions adds to the answer what the fleet recorded of the service's versions before all nodes that
// were asked started.
func (o *streamOrigins) recallVersions(ctx context.Context, service string, answer relay.OriginAnswer) relay.OriginAnswer {
	if !o.node.history.recall(ctx, service) {
		answer.IsPartial = true
		return answer
	}
	answer.IsHistoryKnown = true
	answer.Versions = mergeVersions(answer.Versions, o.recentVersions(clock.Now(), service))
	return answer
}

// mergeVersions returns the versions of both lists.
func mergeVersions(versions, others []string) []string {
	for _, version := range others {
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// askPeers asks the nodes that may keep the origin at once, and returns with the first that knows it.
func (o *streamOrigins) askPeers(ctx context.Context, now time.Time, key origins.Key, service string) relay.OriginAnswer {
	answer := relay.OriginAnswer{
		Versions: o.recentVersions(now, service), IsHistoryKnown: o.node.history.isKnown(now, service), Lost: o.node.history.witness.word(now, service),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := o.askedKeepers(now, key)
	answers := make(chan *peerpb.OriginCall, len(asked))
	for _, address := range asked {
		go func() { answers <- o.ask(ctx, address, key, service) }()
	}
	for range asked {
		call := <-answers
		if call == nil {
			answer.IsPartial = true
			continue
		}
		answer.Versions = mergeVersions(answer.Versions, call.Versions)
		answer.Lost = answer.Lost.And(decodeLostStreams(call))
		// An older build that is asked has been running while this node started.
		answer.IsHistoryKnown = answer.IsHistoryKnown || call.History != peerpb.VersionHistory_VERSION_HISTORY_UNKNOWN
		if entry, ok := decodeOrigin(now, call.Origin); ok {
			answer.Entry, answer.IsKnown, answer.Source = entry, true, relay.OriginFromPeer
			break
		}
	}
	return answer
}

// askedKeepers returns the addresses of the nodes that may keep the origin, also of those that are stopping.
func (o *streamOrigins) askedKeepers(now time.Time, key origins.Key) []string {
	members := o.node.peers.livingMembers(now)
	count := len(members)
	if count >= maxLoadSharingNodes {
		count = maxAskedKeepers
	}
	return origins.Keepers(key, members, count)
}

// ask asks one node; nil means that it does not answer.
func (o *streamOrigins) ask(ctx context.Context, address string, key origins.Key, service string) *peerpb.OriginCall {
	call := &peerpb.OriginCall{Asker: o.node.peers.address, Key: key[:], Service: service}
	for range originAsks {
		answer, ok := o.pending.call(ctx, originAskTimeout, func(id uint64) {
			call.Id = id
			o.node.peers.sendMessage(trafficOrigins, []string{address}, &peerpb.NodeState{OriginCall: call})
		})
		if ok {
			return answer
		}
	}
	return nil
}

// handleCall handles a question or an answer of another node.
func (o *streamOrigins) handleCall(call *peerpb.OriginCall) {
	if call.IsAnswer {
		o.pending.resolve(call.Id, call)
		return
	}
	key, ok := origins.DecodeKey(call.Key)
	if !ok {
		return
	}
	now := clock.Now()
	answer := &peerpb.OriginCall{IsAnswer: true, Id: call.Id, Versions: o.recentVersions(now, call.Service), History: peerpb.VersionHistory_VERSION_HISTORY_UNKNOWN}
	if o.node.history.isKnown(now, call.Service) {
		answer.History = peerpb.VersionHistory_VERSION_HISTORY_KNOWN
	}
	encodeLostStreams(answer, o.node.history.witness.word(now, call.Service))
	o.mu.Lock()
	if entry, ok := o.table.Find(now, key); ok {
		answer.Origin = encodeOrigin(now, o.starts.Review(entry))
	}
	o.mu.Unlock()
	o.node.peers.sendMessage(trafficOrigins, []string{call.Asker}, &peerpb.NodeState{OriginCall: answer})
}

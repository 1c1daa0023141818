package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// PeerList is a peer's whole list of the servers that take work.
type PeerList struct {
	Servers []Server
	// Position is the position up to which the list is complete.
	Position storepos.Position
	// Prior is the position of an earlier era up to which the peer knew the servers before the
	// store was restored; zero if it knew none, or if the store has been written again since.
	Prior storepos.Position
	// EraSince is when the era of the position became known to the peer; zero if it knew no earlier
	// era.
	EraSince time.Time
}

// priorState is what a table needs in order to take in, after the list of a restored store, what
// peers know from before the restore. The result is the same as if the peers' list had come first.
type priorState struct {
	// position is the latest position of an earlier era up to which this table or a peer whose list
	// it has taken in knew the servers; zero if nobody's is known.
	position storepos.Position
	// copyBound is the earliest position of the era at which a list was complete. Entries after it
	// were written in the era, the others may come from the copy.
	copyBound storepos.Position
	// listed are the servers of the era's first list, as the list had them, and listedAt is its
	// position.
	listed   map[string]Server
	listedAt storepos.Position
	// listedByPeers are the servers that all lists of the era from peers have; nil if there was none.
	listedByPeers map[string]bool
	// ended are the servers that ended since that list; nil while it does not matter.
	ended map[string]bool
}

// ExpectPeers makes the table take in what peers know from before the store was restored.
func (t *Table) ExpectPeers() { t.expectsPeers = true }

// enterEra begins to record what the era's first list needs to be applied again.
func (t *Table) enterEra(previous storepos.Position) {
	t.eraState.prior = priorState{position: previous}
	if t.expectsPeers {
		t.eraState.prior.ended = make(map[string]bool)
	}
}

// recordList records a list to which the table has advanced from the previous position.
func (t *Table) recordList(servers []Server, previous storepos.Position) {
	if prior := &t.eraState.prior; prior.ended != nil && previous.Era != t.position.Era {
		prior.listedAt, prior.copyBound = t.position, t.position
		prior.listed = make(map[string]Server, len(servers))
		for _, server := range servers {
			prior.listed[server.ID] = server
		}
	}
}

// recordEnd records that a server is gone.
func (p *priorState) recordEnd(id string) {
	if p.ended != nil {
		p.ended[id] = true
	}
}

// forgetListed drops what is needed only while peers' earlier knowledge may be taken in.
func (t *Table) forgetListed(now time.Time) {
	if prior := &t.eraState.prior; prior.ended != nil && !t.isPriorOpen(now) {
		prior.listed, prior.ended = nil, nil
	}
}

// isPriorOpen reports whether the store, which may have been restored, may not have been written
// again yet.
func (t *Table) isPriorOpen(now time.Time) bool {
	begin := t.eraState.firstSeenAt
	if !t.eraState.startedAt.IsZero() {
		begin = t.eraState.startedAt
	}
	return t.expectsPeers && t.position.Era > 0 && now.Sub(begin) < storepos.RestoreRewriteTime
}

// LacksPrior reports whether peers may know servers, or the end of servers, from before the store
// was restored, of which this table knows nothing.
func (t *Table) LacksPrior(now time.Time) bool {
	return t.isPriorOpen(now) && t.position.Era > storepos.EraFromStore(0) && t.eraState.prior.position.IsZero()
}

// Prior returns the value of PeerList.Prior for this table's own list.
func (t *Table) Prior(now time.Time) storepos.Position {
	if !t.isPriorOpen(now) {
		return storepos.Position{}
	}
	return t.eraState.prior.position
}

// ConfirmPrior records that a peer, of which Prior is the value of PeerList.Prior, knows the same
// servers as this table.
func (t *Table) ConfirmPrior(now time.Time, prior storepos.Position) {
	if !t.isPriorOpen(now) || prior.IsZero() || prior.Era >= t.position.Era {
		return
	}
	t.eraState.prior.position = storepos.Later(t.eraState.prior.position, prior)
	if t.eraState.startedAt.IsZero() {
		t.BeginEra(t.eraState.firstSeenAt)
	}
}

// hasEarlierPrior reports whether the peer knew less than this table before the store was restored.
func (t *Table) hasEarlierPrior(now time.Time, list PeerList) bool {
	return t.isPriorOpen(now) && list.Position.Era == t.position.Era && list.Prior.IsBefore(t.eraState.prior.position)
}

// isWrittenInEra reports whether the entry was certainly written in the table's era.
func (t *Table) isWrittenInEra(server Server) bool {
	bound := t.eraState.prior.copyBound
	return !bound.IsZero() && server.Position.Era == t.position.Era && server.Position.IsAfter(bound)
}

// ApplyPeerList applies a peer's whole list, and what the peer knows from before the store was
// restored: that also if its position is before the table's, since the restored copy may lack it.
func (t *Table) ApplyPeerList(now time.Time, list PeerList) []Change {
	if list.Position.Era > t.position.Era {
		changes := t.replaceByPeer(now, list)
		t.receiveEraStart(list)
		t.ConfirmPrior(now, list.Prior)
		t.recordPeerList(now, list)
		return changes
	}
	t.receiveEraStart(list)
	t.recordPeerList(now, list)
	changes := append(t.mergePrior(now, list), t.removeUnlisted(now)...)
	changes = append(changes, t.restoreWritten(t.writtenByPeer(now, list))...)
	changes = append(changes, t.replaceByPeer(now, list)...)
	if list.Position.Era == t.position.Era {
		t.ConfirmPrior(now, list.Prior)
	}
	return changes
}

// receiveEraStart takes over when the era became known to a peer, unless that is known here.
func (t *Table) receiveEraStart(list PeerList) {
	if t.eraState.startedAt.IsZero() && list.Position.Era == t.position.Era && !list.EraSince.IsZero() {
		t.BeginEra(list.EraSince)
	}
}

// recordPeerList records which servers a peer's list of the table's era has.
func (t *Table) recordPeerList(now time.Time, list PeerList) {
	prior := &t.eraState.prior
	if list.Position.Era != t.position.Era || !t.isPriorOpen(now) {
		return
	}
	listed := make(map[string]bool, len(list.Servers))
	for _, server := range list.Servers {
		if t.isListedByPeers(server.ID) {
			listed[server.ID] = true
		}
		_, isInFirstList := prior.listed[server.ID]
		if server.Position.Era == t.position.Era && list.Position.IsBefore(prior.listedAt) && !isInFirstList {
			prior.recordEnd(server.ID)
		}
	}
	prior.listedByPeers = listed
	t.lowerCopyBound(list.Position)
}

// lowerCopyBound records a position at which a list was complete.
func (t *Table) lowerCopyBound(position storepos.Position) {
	if prior := &t.eraState.prior; position.Era == t.position.Era && position.IsBefore(prior.copyBound) {
		prior.copyBound = position
	}
}

// writtenByPeer returns the servers whose entries were written in the era according to a peer that
// knew no less than this table before the restore.
func (t *Table) writtenByPeer(now time.Time, list PeerList) map[string]bool {
	if len(t.eraState.prior.listed) == 0 || t.hasEarlierPrior(now, list) {
		return nil
	}
	written := make(map[string]bool)
	for _, server := range list.Servers {
		written[server.ID] = server.Position.Era == t.position.Era
	}
	return written
}

// restoreWritten applies the entries of the era's first list that were certainly written in the era;
// the given servers' were.
func (t *Table) restoreWritten(known map[string]bool) []Change {
	var written []Server
	for id, server := range t.eraState.prior.listed {
		isWritten := t.isWrittenInEra(server) || known[id] && t.isListed(id)
		if isWritten && !t.eraState.prior.ended[id] {
			written = append(written, server)
		}
	}
	return t.applyAll(written, t.applyIfNewer)
}

// isListed reports whether the store listed the server at the era's first list. A peer's list does
// not tell whether the store lists an entry of an earlier era.
func (t *Table) isListed(id string) bool {
	listed, ok := t.eraState.prior.listed[id]
	return ok && listed.Position.Era == t.position.Era
}

// mayAwaitRewrite reports whether a server of an earlier era, which the era's first list lacks, may
// still be written again. Peers list no draining servers, so one that a peer's list of the era lacks
// may be draining.
func (t *Table) mayAwaitRewrite(id string) bool {
	return t.isListedByPeers(id) && !t.eraState.prior.ended[id]
}

// removeUnlisted removes the servers of an earlier era that the era's lists rule out.
func (t *Table) removeUnlisted(now time.Time) []Change {
	if !t.isPriorOpen(now) {
		return nil
	}
	var changes []Change
	for id, known := range maps.Clone(t.servers) {
		isKept := known.Position.Era < t.position.Era && !t.isListed(id)
		if isKept && !t.mayAwaitRewrite(id) {
			t.remove(id)
			changes = append(changes, Change{Server: known, Gone: true})
		}
	}
	return changes
}

func (t *Table) isListedByPeers(id string) bool {
	listed := t.eraState.prior.listedByPeers
	return listed == nil || listed[id]
}

// mergePrior takes in what the peer knew before the store was restored, if that is more than is
// known here: the era's first list is applied again, on top of the peer's list. What was written
// since that list stays.
func (t *Table) mergePrior(now time.Time, list PeerList) []Change {
	position := list.Prior
	if list.Position.Era < t.position.Era {
		position = list.Position
	}
	prior := &t.eraState.prior
	if !t.isPriorOpen(now) || list.Position.Era > t.position.Era || !position.IsAfter(prior.position) {
		return nil
	}
	t.ConfirmPrior(now, position)
	return t.adopt(t.replay(list.Servers))
}

// replay returns a table that had the servers, as of the prior position, before the era's first
// list.
func (t *Table) replay(servers []Server) *Table {
	prior := t.eraState.prior
	replayed := NewTable()
	replayed.applyAll(servers, replayed.applyIfNewer)
	replayed.position = prior.position
	at := t.eraState.firstSeenAt
	previous := replayed.advance(at, prior.listedAt)
	replayed.eraState.prior.copyBound = prior.copyBound
	replayed.applyStoreList(at, slices.Collect(maps.Values(prior.listed)), previous)
	return replayed
}

// adopt replaces what may come from the restored copy by what the replayed table has.
func (t *Table) adopt(replayed *Table) []Change {
	var changes []Change
	for id, known := range maps.Clone(t.servers) {
		if _, stays := replayed.servers[id]; !stays && !t.isWrittenInEra(known) {
			t.remove(id)
			changes = append(changes, Change{Server: known, Gone: true})
		}
	}
	for id, server := range replayed.servers {
		known, has := t.servers[id]
		isSame := has && known.Position == server.Position && known.Draining == server.Draining
		if isSame || has && t.isWrittenInEra(known) || t.eraState.prior.ended[id] || !t.isListed(id) && !t.mayAwaitRewrite(id) {
			continue
		}
		t.put(server)
		changes = append(changes, Change{Server: server})
	}
	return changes
}

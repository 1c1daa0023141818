package edge

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// expiryGracePeriod is how long after the store's recovery a server whose entry disappeared
// during the outage is still considered alive. Entries expire while their servers cannot renew
// them, and those of live servers are back within this time.
const expiryGracePeriod = 2 * time.Second

// expiryGrace suppresses the removal of servers whose entries may have expired only because the
// store was unavailable. It is safe for concurrent use.
type expiryGrace struct {
	mu sync.Mutex
	// until is when missing entries count as removed again.
	until   time.Time
	missing map[string]inventory.Server
}

// begin starts the grace period.
func (l *expiryGrace) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = now.Add(expiryGracePeriod)
}

// filterRemovals drops removals from the store's events during the grace period.
func (l *expiryGrace) filterRemovals(now time.Time, events []inventory.Change) []inventory.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make([]inventory.Change, 0, len(events))
	for _, event := range events {
		if event.Gone && now.Before(l.until) {
			l.hold(event.Server)
			continue
		}
		delete(l.missing, event.Server.ID)
		kept = append(kept, event)
	}
	return kept
}

// addMissing adds the known servers that the store's list lacks during the grace period.
func (l *expiryGrace) addMissing(now time.Time, listed, known []inventory.Server) []inventory.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
		delete(l.missing, server.ID)
	}
	if !now.Before(l.until) {
		return listed
	}
	for _, server := range known {
		if !present[server.ID] {
			l.hold(server)
			listed = append(listed, server)
		}
	}
	return listed
}

func (l *expiryGrace) hold(server inventory.Server) {
	if l.missing == nil {
		l.missing = make(map[string]inventory.Server)
	}
	l.missing[server.ID] = server
}

// finish reports once that the grace period is over while entries are missing.
func (l *expiryGrace) finish(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until) || len(l.missing) == 0 {
		return false
	}
	l.missing = nil
	return true
}

// finishExpiryGrace requests a reload of the server list once the grace period is over: servers
// whose entries did not come back are gone. It does the same for entries kept across a change of
// the store's era. A node that does not watch the store at that time leaves the removal to those
// that do, because it may have missed an entry's return.
func (n *Node) finishExpiryGrace(now time.Time) {
	isGraceOver, isReloadDue := n.expiryGrace.finish(now), n.directory.isReloadDue(now)
	if isGraceOver || isReloadDue {
		n.reloadServers.Store(true)
		signal(n.serversRefresh)
	}
}

package edge

import (
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// expiryGracePeriod is how long after the store's return a server whose entry went
// meanwhile is still taken to live: entries lapse while their servers cannot
// renew them, and those of living servers are back within it.
const expiryGracePeriod = 2 * time.Second

// expiryGrace holds back that servers are gone, as long as their entries may have
// lapsed only because the store was away. It is safe for concurrent use.
type expiryGrace struct {
	mu sync.Mutex
	// until is when entries that are missing count as gone again.
	until   time.Time
	missing map[string]inventory.Server
}

// begin begins the time in which entries come back.
func (l *expiryGrace) begin(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = now.Add(expiryGracePeriod)
}

// filterRemovals leaves out of the store's events that servers are gone.
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

// addMissing adds to the store's list the known servers that it lacks.
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

// finish reports, once, that the time is over while entries are missing.
func (l *expiryGrace) finish(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until) || len(l.missing) == 0 {
		return false
	}
	l.missing = nil
	return true
}

// finishExpiryGrace reads the servers anew once the time is over: whose entry did not come
// back is gone. So it does with what was kept over a change of the store's era. A node that does not watch the store by then leaves that to those
// that do, as it may have missed that an entry came back.
func (n *Node) finishExpiryGrace(now time.Time) {
	isGraceOver, isReloadDue := n.expiryGrace.finish(now), n.directory.isReloadDue(now)
	if isGraceOver || isReloadDue {
		n.reloadServers.Store(true)
		signal(n.serversRefresh)
	}
}

package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// FallbackAllowance is what one node may send to bounded servers without a coordinator. For each server
// a few of all nodes are drawn, each by itself and without a message: by a hash of the
// server and the node, against the size of the fleet. A drawn node sends one request in
// a window; nothing is saved up.
type FallbackAllowance struct {
	node string
	// window is the time in which a lot is used once.
	window time.Duration
	used   map[string]time.Time
}

// NewWarmUpFallback returns those of the node with the address for cold servers.
func NewWarmUpFallback(node string) *FallbackAllowance { return newLots(node, window) }

func newLots(node string, window time.Duration) *FallbackAllowance {
	return &FallbackAllowance{node: node, window: window, used: make(map[string]time.Time)}
}

// Take uses the node's lot for the server, where it has one and did not use it within a
// window. Most is what the server may receive in a window. Nodes is the size of the fleet, as
// far as it was ever known: where it is taken for too small, too many nodes are drawn.
func (l *FallbackAllowance) Take(now time.Time, serverID string, most float64, nodes int) bool {
	if !l.isDrawn(serverID, most, nodes) {
		return false
	}
	if last, ok := l.used[serverID]; ok && now.Sub(last) < l.window {
		return false
	}
	l.used[serverID] = now
	return true
}

func (l *FallbackAllowance) isDrawn(serverID string, most float64, nodes int) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(serverID)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(l.node)
	drawn := float64(digest.Sum64()>>11) / (1 << 53)
	return drawn*float64(max(1, nodes)) < lotsShare*most
}

// Prune drops what was used before the last window.
func (l *FallbackAllowance) Prune(now time.Time) {
	for id, used := range l.used {
		if now.Sub(used) >= l.window {
			delete(l.used, id)
		}
	}
}

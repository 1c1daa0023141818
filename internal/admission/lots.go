package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// FallbackAllowance is what one node may send to bounded servers when no coordinator answers. For
// each server a few of all nodes are selected without any message between them: each node compares
// a hash of the server and its own name with the size of the fleet. A selected node may send one
// request per window; unused requests do not accumulate.
type FallbackAllowance struct {
	node string
	// window is the time in which the allowance for one server may be used once.
	window   time.Duration
	lastUsed map[string]time.Time
}

// NewWarmUpFallback returns the allowance for cold servers of the node with that address.
func NewWarmUpFallback(node string) *FallbackAllowance {
	return newFallbackAllowance(node, warmUpWindow)
}

func newFallbackAllowance(node string, window time.Duration) *FallbackAllowance {
	return &FallbackAllowance{node: node, window: window, lastUsed: make(map[string]time.Time)}
}

// Take uses the node's allowance for the server, if it has one that was not used within the last
// window. maxRequests is what the server may receive in a window. nodes is the largest known size
// of the fleet: if it is too small, too many nodes are selected.
func (a *FallbackAllowance) Take(now time.Time, serverID string, maxRequests float64, nodes int) bool {
	if !a.isSelected(serverID, maxRequests, nodes) {
		return false
	}
	if last, ok := a.lastUsed[serverID]; ok && now.Sub(last) < a.window {
		return false
	}
	a.lastUsed[serverID] = now
	return true
}

func (a *FallbackAllowance) isSelected(serverID string, maxRequests float64, nodes int) bool {
	digest := xxhash.New()
	_, _ = digest.WriteString(serverID)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(a.node)
	sample := float64(digest.Sum64()>>11) / (1 << 53)
	return sample*float64(max(1, nodes)) < fallbackShare*maxRequests
}

// Prune forgets uses that are older than the last window.
func (a *FallbackAllowance) Prune(now time.Time) {
	for id, usedAt := range a.lastUsed {
		if now.Sub(usedAt) >= a.window {
			delete(a.lastUsed, id)
		}
	}
}

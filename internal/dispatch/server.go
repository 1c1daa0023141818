package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// server is what the node believes of one server.
type server struct {
	info inventory.Server
	// goingBefore is the position before which entries do not say yet that the
	// server goes.
	goingBefore storepos.Position
	// isTold is set while this start is known by the leader's view alone, who has it from the
	// server itself; rival is what the store says meanwhile of one that was born earlier.
	isTold bool
	rival  *inventory.Server
	// closed is set while the server's zone is evacuated.
	closed bool
	// held are the models of the entry.
	held map[string]map[string]bool
	view *View
	// viewAt is when the leader's view came, viewSeen when the leader last said
	// that it holds, and viewTerm the term it is of.
	viewAt   time.Time
	viewSeen time.Time
	viewTerm int64
	// hasNewerEntry is set where the entry came after the leader last said that
	// the view holds.
	hasNewerEntry bool
	// running and pendingTokens are this node's own requests in flight: all of
	// them, and the prompt tokens of those whose answer has not begun.
	running       int
	pendingTokens float64
	peers         map[string]peerLoad
	// fleet is what all nodes have under way there on the whole, by the leader.
	fleet      peerLoad
	reported   Load
	reportedAt time.Time
	health     health
	cache      promptCache
	cold       coldness
	// bearing and keeping are the models that it is listed for in the index, sorted.
	bearing, keeping []string
	// bounds are those of this start of the server, by what it told; nil is nothing.
	bounds *admission.Server
	// absentUntil are models that the server itself refused as not there.
	absentUntil map[string]time.Time
}

// Load is what a server tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

type peerLoad struct {
	running       int
	pendingTokens float64
	at            time.Time
}

// peerLoadAge is how long a peer's count of its requests is believed.
const peerLoadAge = time.Second

func newServer(info inventory.Server) *server {
	s := &server{
		peers:       make(map[string]peerLoad),
		absentUntil: make(map[string]time.Time),
		cache:       newPromptCache(),
	}
	s.update(info)
	return s
}

// viewAge is how long the leader's view goes before a server's own entry. The
// leader says more often that it holds.
const viewAge = 3 * time.Second

// update takes a newer entry.
func (s *server) update(info inventory.Server) {
	s.info = info
	s.hasNewerEntry = true
	s.held = make(map[string]map[string]bool, len(info.Models))
	for _, model := range info.Models {
		adapters := make(map[string]bool, len(model.Adapters))
		for _, adapter := range model.Adapters {
			adapters[adapter] = true
		}
		s.held[model.Name] = adapters
	}
}

// takesWork reports whether new work may go there. All that is sent to a server goes
// by it: first sends, retries, resumed streams, what waits, and the last look before a
// request leaves.
func (s *server) takesWork() bool { return !s.isGoing() && !s.closed }

// isGoing reports whether the server leaves, by its entry, a peer's word or its own, which no
// entry takes back: the store may be behind.
func (s *server) isGoing() bool {
	return s.info.Draining || s.info.Position.IsBefore(s.goingBefore) || s.bounds.IsDraining()
}

// isBackingOff reports whether nothing may be sent to the server now, though it stays: it wants nothing
// from this node, or one request shows whether it does.
func (s *server) isBackingOff(now time.Time) bool {
	bound := s.bounds.Check(now).Reason
	return bound == admission.DenyBackoff || bound == admission.DenyHalfOpen
}

// hasView reports whether the leader's view goes before the entry: while it is
// young or, where no leader is heard, nothing newer came.
func (s *server) hasView(now time.Time) bool {
	return s.view != nil && (now.Sub(s.viewSeen) < viewAge || !s.hasNewerEntry)
}

func (s *server) holds(now time.Time, model, adapter string) bool {
	if !s.has(now, model, adapter) {
		return false
	}
	return now.After(s.absentUntil[joined(model, adapter)])
}

// has goes by the leader's view, also for an adapter that has come by now: a
// report would only say so later. Loads of models take too long to be foretold.
func (s *server) has(now time.Time, model, adapter string) bool {
	if !s.hasView(now) {
		adapters, ok := s.held[model]
		return ok && (adapter == "" || adapters[adapter])
	}
	if adapters, ok := s.view.Held[model]; ok && (adapter == "" || slices.Contains(adapters, adapter)) {
		return true
	}
	if adapter == "" {
		return false
	}
	left, loading := s.readyIn(now, model, adapter)
	return loading && left == 0
}

// readyIn is when the server will hold the model, where an order is under way.
func (s *server) readyIn(now time.Time, model, adapter string) (time.Duration, bool) {
	if !s.hasView(now) {
		return 0, false
	}
	ready, ok := s.view.Loading[joined(model, adapter)]
	if !ok {
		return 0, false
	}
	return max(0, ready-now.Sub(s.viewAt)), true
}

func (s *server) totals(now time.Time) (running int, pendingTokens float64) {
	running, pendingTokens = s.running, s.pendingTokens
	for _, peer := range s.peers {
		if now.Sub(peer.at) < peerLoadAge {
			running += peer.running
			pendingTokens += peer.pendingTokens
		}
	}
	return running, pendingTokens
}

// reportedAge is how long a server's own word of its load is believed.
const reportedAge = 300 * time.Millisecond

// load is the number of requests at the server: those that nodes know of or, by
// its own recent word or the leader's, more.
func (s *server) load(now time.Time) (requests int, pendingTokens float64) {
	requests, pendingTokens = s.totals(now)
	if now.Sub(s.fleet.at) < fleetLoadAge {
		requests, pendingTokens = max(requests, s.fleet.running), max(pendingTokens, s.fleet.pendingTokens)
	}
	if now.Sub(s.reportedAt) < reportedAge {
		requests = max(requests, s.reported.Running+s.reported.Waiting)
	}
	return requests, pendingTokens
}

func joined(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// health is the recent share of failed requests; it fades with time, so that a
// server that is left alone is tried again.
type health struct {
	failures  float64
	successes float64
	at        time.Time
	// slowness is the usual ratio of the time to the first byte over what was
	// expected.
	slowness float64
}

const (
	healthHalfLife = 2 * time.Second
	// healthPrior is the weight of the belief that a server is sound.
	healthPrior = 2.0
	// slownessWeight is the weight of a new sample.
	slownessWeight = 0.25
	maxSlowness    = 20.0
)

func (h *health) fade(now time.Time) {
	if !h.at.IsZero() {
		keep := math.Exp2(-now.Sub(h.at).Seconds() / healthHalfLife.Seconds())
		h.failures *= keep
		h.successes *= keep
		h.slowness = 1 + (h.slowness-1)*keep
	} else {
		h.slowness = 1
	}
	h.at = now
}

func (h *health) add(now time.Time, failed bool) {
	h.fade(now)
	if failed {
		h.failures++
	} else {
		h.successes++
	}
}

func (h *health) addSlowness(now time.Time, ratio float64) {
	h.fade(now)
	ratio = min(max(ratio, 0.5), maxSlowness)
	h.slowness += slownessWeight * (ratio - h.slowness)
}

// failureRate is the believed share of requests that fail now.
func (h *health) failureRate(now time.Time) float64 {
	h.fade(now)
	return h.failures / (h.failures + h.successes + healthPrior)
}

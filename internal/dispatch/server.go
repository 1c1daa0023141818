package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// server is what this node knows about one server.
type server struct {
	info inventory.Server
	// drainingBefore is the position before which entries don't show yet that the server is
	// draining.
	drainingBefore storepos.Position
	// isFromViewOnly is set while this start is only known from the leader's view, which is based
	// on the server's own report. conflictingEntry is an entry in the store with an earlier start
	// time that arrived meanwhile.
	isFromViewOnly   bool
	conflictingEntry *inventory.Server
	// isZoneEvacuated is set while the server's zone is evacuated.
	isZoneEvacuated bool
	// versionUncertainUntil is until when the server may run another software version than its entry
	// says.
	versionUncertainUntil time.Time
	// held are the models in the entry, with their adapters.
	held map[string]map[string]bool
	view *View
	// viewAt is when the leader's view arrived, viewConfirmedAt when the leader last confirmed it,
	// and viewTerm its term.
	viewAt          time.Time
	viewConfirmedAt time.Time
	viewTerm        int64
	// hasNewerEntry is set if the entry arrived after the leader last confirmed the view.
	hasNewerEntry bool
	// running and pendingTokens are this node's own requests in flight: their number, and the
	// prompt tokens of those whose response has not begun.
	running       int
	pendingTokens float64
	peers         map[string]peerLoad
	// fleetLoad is the load of all nodes on the server, as sent by the leader.
	fleetLoad    peerLoad
	reportedLoad Load
	reportedAt   time.Time
	health       health
	// heardAt is when this node last read something from the server's responses.
	heardAt time.Time
	cache   promptCache
	cold    coldState
	// indexedHosted and indexedStored are the models under which the index lists the server,
	// sorted.
	indexedHosted, indexedStored []string
	// admissionState is the admission state of this start of the server; nil means no limits.
	admissionState *admission.Server
	// absentUntil holds the models that the server itself reported as not held, and until when that
	// overrides other sources.
	absentUntil map[string]time.Time
}

// Load is the load that a server reports in a response.
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

// peerLoadMaxAge is how long a peer's load report is used.
const peerLoadMaxAge = time.Second

func newServer(info inventory.Server) *server {
	s := &server{
		peers:       make(map[string]peerLoad),
		absentUntil: make(map[string]time.Time),
		cache:       newPromptCache(),
	}
	s.update(info)
	return s
}

// viewMaxAge is how long the leader's view overrides a server's own entry without being confirmed.
// The leader confirms it more often than that.
const viewMaxAge = 3 * time.Second

// update applies a newer entry.
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

// isAvailable reports whether new work may be sent to the server. Everything that is sent to a
// server checks it: first attempts, retries, resumed streams, waiting requests, and the last check
// before a request is written.
func (s *server) isAvailable() bool { return !s.isDraining() && !s.isZoneEvacuated }

// isDraining reports whether the server is draining, by its entry, a peer's report or its own. No
// entry revokes the server's own report, since the store may lag behind.
func (s *server) isDraining() bool {
	return s.info.Draining || s.info.Position.IsBefore(s.drainingBefore) || s.admissionState.IsDraining()
}

// isBackingOff reports whether nothing may be sent to the server now although it is not draining:
// it asked this node for a backoff, or a single probe request is finding out whether it takes work.
func (s *server) isBackingOff(now time.Time) bool {
	reason := s.admissionState.Check(now, admission.KindNew).Reason
	return reason == admission.DenyBackoff || reason == admission.DenyHalfOpen
}

// hasView reports whether the leader's view overrides the entry: while it is fresh or, if no leader
// is heard, until a newer entry arrives.
func (s *server) hasView(now time.Time) bool {
	return s.view != nil && (now.Sub(s.viewConfirmedAt) < viewMaxAge || !s.hasNewerEntry)
}

// hasUsableModel reports whether the server holds the model and adapter, and has not recently
// reported them as absent.
func (s *server) hasUsableModel(now time.Time, model, adapter string) bool {
	if !s.hasModel(now, model, adapter) {
		return false
	}
	return now.After(s.absentUntil[modelKey(model, adapter)])
}

// hasModel reports whether the server holds the model and adapter, by the leader's view if it is in
// force. An adapter counts as held once its expected load time has passed, since a report would
// only confirm that later. Models take too long to load for such an estimate.
func (s *server) hasModel(now time.Time, model, adapter string) bool {
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
	left, loading := s.loadReadyIn(now, model, adapter)
	return loading && left == 0
}

// loadReadyIn returns the time until a model or adapter that was ordered is loaded.
func (s *server) loadReadyIn(now time.Time, model, adapter string) (time.Duration, bool) {
	if !s.hasView(now) {
		return 0, false
	}
	ready, ok := s.view.Loading[modelKey(model, adapter)]
	if !ok {
		return 0, false
	}
	return max(0, ready-now.Sub(s.viewAt)), true
}

// knownLoad returns the load of this node on the server plus the recent loads of its peers.
func (s *server) knownLoad(now time.Time) (running int, pendingTokens float64) {
	running, pendingTokens = s.running, s.pendingTokens
	for _, peer := range s.peers {
		if now.Sub(peer.at) < peerLoadMaxAge {
			running += peer.running
			pendingTokens += peer.pendingTokens
		}
	}
	return running, pendingTokens
}

// reportedLoadMaxAge is how long a server's own load report is used.
const reportedLoadMaxAge = 300 * time.Millisecond

// load returns the number of requests at the server: the sum of the loads that nodes report or, if
// higher, the recent load from the server itself or from the leader.
func (s *server) load(now time.Time) (requests int, pendingTokens float64) {
	requests, pendingTokens = s.knownLoad(now)
	if now.Sub(s.fleetLoad.at) < fleetLoadMaxAge {
		requests, pendingTokens = max(requests, s.fleetLoad.running), max(pendingTokens, s.fleetLoad.pendingTokens)
	}
	if now.Sub(s.reportedAt) < reportedLoadMaxAge {
		requests = max(requests, s.reportedLoad.Running+s.reportedLoad.Waiting)
	}
	return requests, pendingTokens
}

func modelKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// health tracks the recent share of failed requests. It decays over time, so that a server that
// gets no requests is tried again.
type health struct {
	failures  float64
	successes float64
	at        time.Time
	// slowness is the moving average of the actual time to first byte divided by the expected one.
	slowness float64
}

const (
	healthHalfLife = 2 * time.Second
	// healthPrior is the weight of the prior assumption that a server is healthy.
	healthPrior = 2.0
	// slownessWeight is the weight of a new sample.
	slownessWeight = 0.25
	maxSlowness    = 20.0
)

func (h *health) decay(now time.Time) {
	if !h.at.IsZero() {
		factor := math.Exp2(-now.Sub(h.at).Seconds() / healthHalfLife.Seconds())
		h.failures *= factor
		h.successes *= factor
		h.slowness = 1 + (h.slowness-1)*factor
	} else {
		h.slowness = 1
	}
	h.at = now
}

func (h *health) add(now time.Time, failed bool) {
	h.decay(now)
	if failed {
		h.failures++
	} else {
		h.successes++
	}
}

func (h *health) addSlowness(now time.Time, ratio float64) {
	h.decay(now)
	ratio = min(max(ratio, 0.5), maxSlowness)
	h.slowness += slownessWeight * (ratio - h.slowness)
}

// failureRate returns the estimated share of requests that fail now.
func (h *health) failureRate(now time.Time) float64 {
	h.decay(now)
	return h.failures / (h.failures + h.successes + healthPrior)
}

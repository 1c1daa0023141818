package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// server is the leader's state of one server.
type server struct {
	info inventory.Server
	// isStartUnconfirmed is set while the current start is known from the server's report only;
	// conflictingEntry is a store entry received meanwhile that names an earlier start.
	isStartUnconfirmed bool
	conflictingEntry   *inventory.Server
	// running is the number of requests that all nodes have running there.
	running int
	// synced is set once a report of this term was processed. No orders are issued before.
	synced   bool
	sequence int64
	models   map[string]*heldModel
	// loading is the load in progress; its memory counts as used from the order on.
	loading *modelLoad
	// unloading is the model that the pending order unloads; its memory counts as used until the
	// answer arrives.
	unloading string
	// pendingOrder is the order waiting for its answer; nil if there is none.
	pendingOrder *Order
	// unconfirmedOrder is an order whose answer was lost and which may still be executed.
	unconfirmedOrder *Order
	// nextReportAt is when the next report is due; zero if none is.
	nextReportAt   time.Time
	reportInFlight bool
	// busySince is when the server, with a known sequence number, began to refuse orders as busy;
	// zero if it does not.
	busySince time.Time
	// pauseUntil is the end of the pause after an order that failed.
	pauseUntil time.Time
	// refusals is the number of consecutive orders that found the server busy or did not reach
	// it.
	refusals int
	// cachedWeights are the weights kept in addition to those held, according to the latest
	// report or, initially, to the store entry. A load may displace some of them.
	cachedWeights map[string]Source
	reservation   reservation
	// busy is set if the last report said that an order is being executed.
	busy bool
	// isUnavailable is set while the server's zone is evacuated, or the server announced itself
	// unavailable.
	isUnavailable bool
	// staleOrders are unanswered orders to earlier starts that this start may still execute.
	staleOrders []staleOrder
	// lastAcceptedOrder is the last order of this term that the server accepted; nil if there is
	// none.
	lastAcceptedOrder *Order
}

// heldModel is a model that a server holds.
type heldModel struct {
	loadedAt time.Time
	adapters map[string]*heldAdapter
}

// heldAdapter is an adapter that a server holds or is loading.
type heldAdapter struct {
	// readyAt is when the adapter becomes usable.
	readyAt  time.Time
	lastUsed time.Time
}

// modelLoad is the load of a model in progress.
type modelLoad struct {
	model   string
	source  Source
	readyAt time.Time
	// announcedReadyAt is the value of readyAt that was last published.
	announcedReadyAt time.Time
	// run measures a load from the weight store; nil for other loads, and if it is uncertain when
	// the load began.
	run *loadRun
}

func newServer(info inventory.Server, now time.Time) *server {
	return &server{info: info, models: make(map[string]*heldModel), cachedWeights: make(map[string]Source), nextReportAt: now}
}

// setCachedWeights records the weights that the server keeps in addition to those it holds.
func (s *server) setCachedWeights(inMemory, onDisk []string) {
	clear(s.cachedWeights)
	for _, model := range onDisk {
		s.cachedWeights[model] = SourceDisk
	}
	for _, model := range inMemory {
		s.cachedWeights[model] = SourceMemory
	}
}

// usedMB returns the memory of everything that the server holds or may come to hold.
func (s *server) usedMB(engine *routetable.Engine) float64 {
	used := reservedAdapterMB(engine)
	for model := range s.models {
		used += engine.Models[model].WeightsMB
	}
	if s.loading != nil {
		used += engine.Models[s.loading.model].WeightsMB
	}
	return used + s.staleOrderMB(engine)
}

// reservedAdapterMB returns the memory for the adapters that fit into all slots of a server.
func reservedAdapterMB(engine *routetable.Engine) float64 {
	largest := 0.0
	for _, model := range engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.AdapterMB)
		}
	}
	return largest * float64(engine.AdapterSlots)
}

func (s *server) adapterCount() int {
	count := s.staleAdapterOrders()
	for _, model := range s.models {
		count += len(model.adapters)
	}
	return count
}

func (s *server) pendingAdapters(now time.Time) int {
	count := 0
	for _, model := range s.models {
		for _, adapter := range model.adapters {
			if now.Before(adapter.readyAt) {
				count++
			}
		}
	}
	return count
}

// canAcceptOrder reports whether the server can be sent an order now.
func (s *server) canAcceptOrder(now time.Time) bool {
	return s.synced && s.isSchedulable() && s.pendingOrder == nil && s.loading == nil && s.unloading == "" &&
		!now.Before(s.pauseUntil)
}

// pendingOrderWait is the assumed time until a pending order is answered.
const pendingOrderWait = 500 * time.Millisecond

// timeUntilFree returns the time until the server can accept an order; ok is false if that is
// unknown.
func (s *server) timeUntilFree(now time.Time) (wait time.Duration, ok bool) {
	switch {
	case !s.isSchedulable() || !s.synced:
		return 0, false
	case s.canAcceptOrder(now):
		return 0, true
	case s.loading != nil:
		return max(busyReportInterval, s.loading.readyAt.Sub(now)), true
	case s.pendingOrder != nil || s.unloading != "":
		return pendingOrderWait, true
	default:
		return max(initialRetryPause, s.pauseUntil.Sub(now)), true
	}
}

func (s *server) hasModel(model string) bool {
	_, ok := s.models[model]
	return ok
}

// loadTime returns how long a load of the model takes on the server, and its source.
func (s *server) loadTime(model routetable.Model) (time.Duration, Source) {
	switch s.cachedWeights[model.Name] {
	case SourceMemory:
		return model.MemoryLoad, SourceMemory
	case SourceDisk:
		return model.DiskLoad, SourceDisk
	default:
		return model.Load, SourceStore
	}
}

package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// server is what the leader knows of one server's models.
type server struct {
	info inventory.Server
	// isTold is set while this start is known by its own report alone; rival is what the store
	// says meanwhile of one that was born earlier.
	isTold bool
	rival  *inventory.Server
	// running are the requests of all nodes there.
	running int
	// synced is set once a report of this term was read. Nothing is ordered
	// before.
	synced   bool
	sequence int64
	held     map[string]*held
	// loading is the model under way; its memory is used from the order on.
	loading *loading
	// unloading is the model that an order without an answer drops; its memory
	// counts until the answer comes.
	unloading string
	// ordering is set while an order has no answer yet.
	ordering *Order
	// unsure is an order without an answer that may still be carried out.
	unsure *Order
	// reportAt is when a report is asked for next; zero is not at all.
	reportAt  time.Time
	reporting bool
	// busySince is when a server whose count of orders is known began to refuse
	// orders as busy; zero while it does not.
	busySince time.Time
	// pauseUntil keeps orders off a server that just refused one.
	pauseUntil time.Time
	// refusals are the orders in a row that it was too busy for or that did not reach it.
	refusals int
	// copies are the weights kept beside those held, by the newest report or, at
	// the start, by the entry. A load may drive others out.
	copies map[string]Source
	intent intent
	// busy is set while the server said last that an order is under way.
	busy bool
	// isClosed is set while the server's zone is evacuated, or the server is away by its own word.
	isClosed bool
	// strays are orders to earlier starts without an answer, which this one may yet carry out.
	strays []stray
	// lastTaken is the last order of this term that the server took; nil is none.
	lastTaken *Order
}

type held struct {
	since    time.Time
	adapters map[string]*adapter
}

type adapter struct {
	// ready is when the adapter can be used.
	ready   time.Time
	lastUse time.Time
}

type loading struct {
	model  string
	source Source
	ready  time.Time
	// told is when it was last said to be ready.
	told time.Time
	// run follows a load from the weight store; nil for other loads, and where
	// it is not certain when the load began.
	run *loadRun
}

func newServer(info inventory.Server, now time.Time) *server {
	return &server{info: info, held: make(map[string]*held), copies: make(map[string]Source), reportAt: now}
}

// setCopies takes the weights that a server says it keeps beside those it holds.
func (s *server) setCopies(inMemory, onDisk []string) {
	clear(s.copies)
	for _, model := range onDisk {
		s.copies[model] = SourceDisk
	}
	for _, model := range inMemory {
		s.copies[model] = SourceMemory
	}
}

// usedMB is the memory of all that the server holds or may come to hold.
func (s *server) usedMB(engine *routetable.Engine) float64 {
	used := adapterReserve(engine)
	for model := range s.held {
		used += engine.Models[model].WeightsMB
	}
	if s.loading != nil {
		used += engine.Models[s.loading.model].WeightsMB
	}
	return used + s.strayMB(engine)
}

// adapterReserve is the memory of all adapters that a server can hold.
func adapterReserve(engine *routetable.Engine) float64 {
	largest := 0.0
	for _, model := range engine.Models {
		if model.Adapters > 0 {
			largest = max(largest, model.AdapterMB)
		}
	}
	return largest * float64(engine.AdapterSlots)
}

func (s *server) adapterCount() int {
	count := s.strayAdapters()
	for _, model := range s.held {
		count += len(model.adapters)
	}
	return count
}

func (s *server) pendingAdapters(now time.Time) int {
	count := 0
	for _, model := range s.held {
		for _, adapter := range model.adapters {
			if now.Before(adapter.ready) {
				count++
			}
		}
	}
	return count
}

// canTake reports whether the server may be ordered something now.
func (s *server) canTake(now time.Time) bool {
	return s.synced && s.takesOrders() && s.ordering == nil && s.loading == nil && s.unloading == "" &&
		!now.Before(s.pauseUntil)
}

// orderWait is taken for an order under way at a server.
const orderWait = 500 * time.Millisecond

// freeIn is the time until the server can take an order; known is false where
// that cannot be told.
func (s *server) freeIn(now time.Time) (wait time.Duration, known bool) {
	switch {
	case !s.takesOrders() || !s.synced:
		return 0, false
	case s.canTake(now):
		return 0, true
	case s.loading != nil:
		return max(recheck, s.loading.ready.Sub(now)), true
	case s.ordering != nil || s.unloading != "":
		return orderWait, true
	default:
		return max(busyPause, s.pauseUntil.Sub(now)), true
	}
}

func (s *server) has(model string) bool {
	_, ok := s.held[model]
	return ok
}

// loadTime is the time of a load at the server, and where it comes from.
func (s *server) loadTime(model routetable.Model) (time.Duration, Source) {
	switch s.copies[model.Name] {
	case SourceMemory:
		return model.MemoryLoad, SourceMemory
	case SourceDisk:
		return model.DiskLoad, SourceDisk
	default:
		return model.Load, SourceStore
	}
}

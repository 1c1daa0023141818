package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Options set up a Core.
type Options struct {
	Zone string
	// Topology are the zones and regions of the deployment.
	Topology locality.Map
	Seed     uint64
}

// Core is the choice of servers of one node.
type Core struct {
	zone      string
	places    locality.Map
	random    *rand.Rand
	servers   map[string]*server
	byService map[string][]*server
	index     modelIndex
	demand    map[Requirements]*demand
	// loadedBy are the servers at which each peer has requests under way.
	loadedBy map[string][]*server
	// early are the leader's views of servers that are not known yet.
	early map[string]earlyView
	// starts are what bounds the sends to starts of servers, by what their answers told.
	starts map[inventory.Start]*startState
	// term is the highest term of a leader that was heard.
	term int64
	// leaderSeen is when the leader last said that it holds its lease, and
	// orderFrom when it may order from.
	leaderSeen time.Time
	orderFrom  time.Time
	// evacuated are the zones to whose servers nothing new is sent.
	evacuated map[string]bool
	// coldStarts are the limits of services whose cold servers bear less.
	coldStarts map[string]routetable.ColdStart
	// changed is closed when something came that may let a request go on.
	changed chan struct{}
}

// New returns a core that knows no server.
func New(options Options) *Core {
	return &Core{
		zone:      options.Zone,
		places:    options.Topology,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		servers:   make(map[string]*server),
		byService: make(map[string][]*server),
		index:     newModelIndex(),
		demand:    make(map[Requirements]*demand),
		loadedBy:  make(map[string][]*server),
		early:     make(map[string]earlyView),
		starts:    make(map[inventory.Start]*startState),
		changed:   make(chan struct{}),
	}
}

// Changed is closed when a request that waits should ask again.
func (c *Core) Changed() <-chan struct{} { return c.changed }

func (c *Core) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetServers takes changes of the servers' entries.
func (c *Core) SetServers(changes []inventory.Change) {
	for _, change := range changes {
		if change.Gone {
			c.remove(change.Server.ID)
		} else {
			c.put(change.Server)
		}
	}
	c.notify()
}

// put takes a server's entry.
func (c *Core) put(entry inventory.Server) {
	known, isListed := c.servers[entry.ID]
	if isListed && known.info.Start() != entry.Start() {
		isEarlier := known.info.Start().IsLaterThan(entry.Start())
		if entry.Position.IsBefore(known.info.Position) || entry.Position == known.info.Position && isEarlier {
			return
		}
		if isEarlier && known.isTold {
			// As a rule the last entry of the start before, told late: by it what the
			// present start would be forgotten.
			known.rival = &entry
			return
		}
		// Another start holds and knows nothing of before.
		c.unlist(known)
		c.index.remove(known)
		delete(c.servers, entry.ID)
		known, isListed = nil, false
	}
	if isListed && known.info.Service != entry.Service {
		c.unlist(known)
		isListed = false
	}
	if known == nil {
		known = newServer(entry)
		c.servers[entry.ID] = known
		c.takeEarly(entry.ID)
	} else {
		known.update(entry)
		known.isTold, known.rival = false, nil
	}
	if !isListed {
		c.list(known)
	}
	known.closed = c.evacuated[entry.Zone]
	known.bounds = c.boundsOf(entry.Start())
	c.index.put(known)
}

func (c *Core) remove(serverID string) {
	if known, ok := c.servers[serverID]; ok {
		c.unlist(known)
		c.index.remove(known)
	}
	delete(c.servers, serverID)
	delete(c.early, serverID)
}

// KnowsOtherStart reports whether the server is known as another start than this.
func (c *Core) KnowsOtherStart(start inventory.Start) bool {
	known, ok := c.servers[start.ID]
	return ok && known.info.Start() != start
}

// list enters a server under its service. What changes costs by what changed, not by all
// servers: with 3,000 of them one change took 0.25 ms, now 0.2 us (BenchmarkSetServers).
func (c *Core) list(s *server) {
	c.byService[s.info.Service] = append(c.byService[s.info.Service], s)
}

// unlist takes a server out from under its service.
func (c *Core) unlist(s *server) {
	listed := c.byService[s.info.Service]
	at := slices.Index(listed, s)
	if at < 0 {
		return
	}
	last := len(listed) - 1
	listed[at] = listed[last]
	listed[last] = nil
	c.byService[s.info.Service] = listed[:last]
	if last == 0 {
		delete(c.byService, s.info.Service)
	}
}

// SetDraining takes a peer's word that a server goes, which entries before the
// position do not say yet.
func (c *Core) SetDraining(serverID string, before storepos.Position) {
	if known, ok := c.servers[serverID]; ok {
		known.goingBefore = storepos.Later(known.goingBefore, before)
	}
}

// ServerCounts counts the servers of a service by what this node believes of them.
type ServerCounts struct {
	// Known servers have an entry.
	Known int
	// Draining ones of them take no new work, by their entry, a peer's word or their own.
	Draining int
	// BackingOff ones of the others want nothing from this node for now.
	BackingOff int
	// RateLimited ones name a rate limit.
	RateLimited int
	// Evacuated ones of the others take none as their zone is evacuated.
	Evacuated int
}

// ServerCounts is what the node knows of a service's servers.
func (c *Core) ServerCounts(now time.Time, service string) ServerCounts {
	supply := ServerCounts{Known: len(c.byService[service])}
	for _, s := range c.byService[service] {
		if s.bounds.IsRateLimited() {
			supply.RateLimited++
		}
		switch {
		case s.isGoing():
			supply.Draining++
		case s.isBackingOff(now):
			supply.BackingOff++
		case s.closed:
			supply.Evacuated++
		}
	}
	return supply
}

// State is what a server is to a node.
type State string

const (
	// StateReady servers take work.
	StateReady State = "ready"
	// StateDraining servers leave and take none.
	StateDraining State = "going"
	// StateBackingOff servers want nothing from this node for now.
	StateBackingOff State = "resting"
	// StateEvacuated servers take none while their zone is evacuated.
	StateEvacuated State = "closed"
	// StateRateLimited servers take work at the rate that they name.
	StateRateLimited State = "limited"
	// StateSuspect servers take work, though many of their requests failed.
	StateSuspect State = "suspect"
)

// suspectRate is the share of failed requests from which a server is suspect.
const suspectRate = 0.3

// CountServers counts the servers in a state.
func (c *Core) CountServers(now time.Time, state State) int {
	count := 0
	for _, s := range c.servers {
		if s.state(now) == state {
			count++
		}
	}
	return count
}

func (s *server) state(now time.Time) State {
	switch {
	case s.isGoing():
		return StateDraining
	case s.isBackingOff(now):
		return StateBackingOff
	case s.closed:
		return StateEvacuated
	case s.bounds.IsRateLimited():
		return StateRateLimited
	case s.health.failureRate(now) >= suspectRate:
		return StateSuspect
	default:
		return StateReady
	}
}

// IsAvailable reports whether new work may go to the server.
func (c *Core) IsAvailable(serverID string) bool {
	known, ok := c.servers[serverID]
	return ok && known.takesWork()
}

// PeerLoad is what a peer has under way at one server.
type PeerLoad struct {
	ServerID      string
	Running       int
	PendingTokens float64
	// smoothed are the running requests over some time.
	smoothed float64
}

// SetPeerLoads takes what a peer has under way; servers that are not named have
// nothing of it.
func (c *Core) SetPeerLoads(now time.Time, peer string, loads []PeerLoad) {
	for _, s := range c.loadedBy[peer] {
		delete(s.peers, peer)
	}
	loaded := c.loadedBy[peer][:0]
	for _, load := range loads {
		if s, ok := c.servers[load.ServerID]; ok {
			s.peers[peer] = peerLoad{running: load.Running, pendingTokens: load.PendingTokens, at: now}
			loaded = append(loaded, s)
		}
	}
	if len(loaded) == 0 {
		delete(c.loadedBy, peer)
		return
	}
	c.loadedBy[peer] = loaded
}

// OwnLoads are this node's requests in flight, for its peers.
func (c *Core) OwnLoads() []PeerLoad {
	var loads []PeerLoad
	for id, s := range c.servers {
		if s.running > 0 {
			loads = append(loads, PeerLoad{ServerID: id, Running: s.running, PendingTokens: s.pendingTokens})
		}
	}
	return loads
}

// RunningByServer are the requests of the loads at each server.
func RunningByServer(loads []PeerLoad) map[string]int {
	running := make(map[string]int, len(loads))
	for _, load := range loads {
		running[load.ServerID] = load.Running
	}
	return running
}

// affinity is a number in 0..1 that all nodes draw alike for a server and a key.
func affinity(serverID string, key uint64) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(serverID)
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(key >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return float64(digest.Sum64()>>11) / (1 << 53)
}

package verify

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

const (
	maxEngines = 3
	leaders    = 2
	zone       = fleet.Zone("z")
)

var (
	oneModel    = fleet.ModelVersion{Model: "m", Version: "1"}
	engineNames = [maxEngines]fleet.BackendName{"x", "y", "w"}
	beginning   = time.Unix(1000, 0)
)

// bounds keep the model finite.
type bounds struct {
	engines, restarts, rounds, orders, repeats int
	// limits are the zone's limit of the model in each generation, from 1 on,
	// and added how many of the engines the record names in it.
	limits, named []int
	// slow lets answers to claims and second reads take time; else they arrive
	// as the engine gives them.
	slow bool
	// unloads lets leaders unload too.
	unloads bool
	// ahead begins where the record is the newest one, and A alone heard it.
	ahead   bool
	defects leadership.Defects
}

func (b bounds) record(generation int) allotment.Record {
	limit := b.limits[generation-1]
	share := allotment.Share{Limit: limit, Ceiling: slices.Max(b.limits[:generation])}
	if share.Ceiling > share.Limit {
		share.LoweredAt = uint64(generation)
	}
	return allotment.Record{
		Generation: uint64(generation),
		Models: map[fleet.ModelVersion]allotment.Decision{
			oneModel: {ReplicaLimit: share.Ceiling, Zones: map[fleet.Zone]allotment.Share{zone: share}},
		},
		Zones: map[fleet.Zone]allotment.ZoneEntry{zone: {Engines: engineNames[:b.named[generation-1]]}},
	}
}

// engineModel is an engine as its contract describes it.
type engineModel struct {
	incarnation uint64
	fence       fleet.Fence
	loaded      bool
	// taken are the orders carried out in this incarnation, a bit each.
	taken uint16
}

// leaderModel is a core with a small placement of one model.
type leaderModel struct {
	core   *leadership.Core
	now    time.Time
	rounds int
	// heard is the generation of the newest record the leader has.
	heard int
	// held are the engines of the established round: what they hold, or are
	// ordered to.
	held, holds [maxEngines]bool
	full        int
	// encoded is the core's part of the key, made anew with each step.
	encoded []byte
}

func (l *leaderModel) count() int {
	count := l.full
	for engine, holds := range l.holds {
		if l.held[engine] && holds {
			count++
		}
	}
	return count
}

type messageKind byte

const (
	readAsked messageKind = iota
	readAnswered
	learnAsked
	claimAsked
	claimAnswered
	loadOrdered
	unloadOrdered
)

// message is one on its way between a leader and an engine or the store. It
// may take any time and come after any other.
type message struct {
	kind           messageKind
	leader, engine int
	// id is the number of the question, or of the order.
	id          uint64
	incarnation uint64
	fence       fleet.Fence
	loaded      bool
	granted     bool
}

func (m message) String() string {
	kinds := [...]string{"read", "state of", "learn", "claim", "claim answer of", "load on", "unload on"}
	return fmt.Sprintf("%c: %s %s (fence %s, incarnation %d, granted %v)",
		'A'+m.leader, kinds[m.kind], engineNames[m.engine], m.fence, m.incarnation, m.granted)
}

// zoneModel is the whole state.
type zoneModel struct {
	bounds   *bounds
	leaders  [leaders]leaderModel
	engines  [maxEngines]engineModel
	network  []message
	stored   int
	restarts int
	orders   int
	repeats  int
	// confirmed is set once a leader has confirmed the newest limit.
	confirmed bool
}

func newZone(bounds *bounds) *zoneModel {
	world := &zoneModel{bounds: bounds, stored: 1}
	addresses := make(map[fleet.BackendName]string)
	for engine := range bounds.engines {
		world.engines[engine].incarnation = 1
		addresses[engineNames[engine]] = string(engineNames[engine])
	}
	for index := range world.leaders {
		leader := &world.leaders[index]
		leader.now = beginning
		leader.heard = 1
		leader.core = leadership.New(leadership.Options{
			Self: fleet.NodeName(rune('A' + index)), Zone: zone, Holder: uint16(index + 1),
			Settings: leadership.DefaultSettings(), Defects: bounds.defects,
		})
		world.step(index, leadership.EnginesListed{Addresses: addresses})
		if bounds.ahead && index == 0 {
			world.stored = len(bounds.limits)
			leader.heard = world.stored
		}
		world.step(index, leadership.RecordReceived{Record: bounds.record(leader.heard)})
		world.step(index, leadership.LeadershipDesired{Lead: true})
	}
	return world
}

// clone copies the state; the core only of the leader that is about to move.
func (w *zoneModel) clone(moving int) *zoneModel {
	copied := *w
	copied.network = slices.Clone(w.network)
	if moving >= 0 {
		copied.leaders[moving].core = copyCore(w.leaders[moving].core)
	}
	return &copied
}

// step feeds a leader's core and carries its effects out.
func (w *zoneModel) step(index int, input leadership.Message) {
	leader := &w.leaders[index]
	for _, effect := range leader.core.Step(leader.now, input) {
		switch effect := effect.(type) {
		case leadership.ReadEngine:
			w.send(message{kind: readAsked, leader: index, engine: engineIndex(effect.Engine), id: effect.ID})
		case leadership.LearnRecord:
			leader.rounds++
			w.send(message{kind: learnAsked, leader: index, id: effect.ID})
		case leadership.SendClaim:
			w.send(message{kind: claimAsked, leader: index, engine: engineIndex(effect.Engine), id: effect.ID,
				fence: effect.Fence, incarnation: effect.Incarnation})
		case leadership.RoundEstablished:
			w.established(leader, effect)
		case leadership.RoundEnded:
			leader.held, leader.holds, leader.full = [maxEngines]bool{}, [maxEngines]bool{}, 0
		}
	}
	leader.encoded = nil
	if phaseOf(leader.core) != phaseIdle || leader.rounds < w.bounds.rounds {
		leader.encoded = appendCore(nil, leader.core, leader.now)
	}
}

func (w *zoneModel) established(leader *leaderModel, round leadership.RoundEstablished) {
	leader.full = len(round.AssumedFull)
	for name, state := range round.Held {
		engine := engineIndex(name)
		leader.held[engine] = true
		leader.holds[engine] = len(state.Models) > 0
	}
}

func engineIndex(name fleet.BackendName) int { return slices.Index(engineNames[:], name) }

func (w *zoneModel) send(sent message) { w.network = append(w.network, sent) }

// dropStale takes messages out of the network that change nothing any more,
// at a leader or at an engine.
func (w *zoneModel) dropStale() {
	w.network = slices.DeleteFunc(w.network, func(sent message) bool {
		core := w.leaders[sent.leader].core
		engine := w.engines[sent.engine]
		dead := sent.incarnation != engine.incarnation || sent.fence < engine.fence
		switch sent.kind {
		case learnAsked:
			return phaseOf(core) != phaseLearning
		case loadOrdered, unloadOrdered:
			return dead && (!core.Leading() || core.Fence() != sent.fence)
		case claimAsked:
			return (dead || sent.fence == engine.fence) && askedOf(core, engineNames[sent.engine]) != sent.id
		default:
			return askedOf(core, engineNames[sent.engine]) != sent.id
		}
	})
}

// loaded is the true number of replicas.
func (w *zoneModel) loaded() int {
	count := 0
	for _, engine := range w.engines {
		if engine.loaded {
			count++
		}
	}
	return count
}

// allowed is the most replicas that may be loaded.
func (w *zoneModel) allowed() int {
	if w.confirmed {
		return w.bounds.limits[w.stored-1]
	}
	return slices.Max(w.bounds.limits)
}

func (w *zoneModel) broken() string {
	if loaded := w.loaded(); loaded > w.allowed() {
		return fmt.Sprintf("%d replicas are loaded where %d are allowed", loaded, w.allowed())
	}
	return ""
}

func (w *zoneModel) key() uint64 {
	w.dropStale()
	key := make([]byte, 0, 512)
	for index := range w.leaders {
		leader := &w.leaders[index]
		key = append(key, leader.encoded...)
		key = append(key, byte(leader.rounds), byte(leader.heard), byte(leader.full))
		for engine := range maxEngines {
			key = appendBool(appendBool(key, leader.held[engine]), leader.holds[engine])
		}
	}
	for _, engine := range w.engines {
		key = binary.AppendUvarint(key, engine.incarnation)
		key = binary.AppendUvarint(key, uint64(engine.fence))
		key = binary.AppendUvarint(appendBool(key, engine.loaded), uint64(engine.taken))
	}
	key = append(key, byte(w.stored), byte(w.restarts), byte(w.orders), byte(w.repeats))
	key = appendBool(key, w.confirmed)
	return xxhash.Sum64(append(key, w.networkKey()...))
}

// networkKey does not depend on the order of the messages.
func (w *zoneModel) networkKey() []byte {
	encoded := make([]string, 0, len(w.network))
	for _, sent := range w.network {
		id := sent.id
		if sent.kind < loadOrdered {
			id = w.leaders[sent.leader].core.LastRequestID() - id
		}
		one := []byte{byte(sent.kind), byte(sent.leader), byte(sent.engine)}
		one = binary.AppendUvarint(one, id)
		one = binary.AppendUvarint(one, sent.incarnation)
		one = binary.AppendUvarint(one, uint64(sent.fence))
		encoded = append(encoded, string(appendBool(appendBool(one, sent.loaded), sent.granted)))
	}
	slices.Sort(encoded)
	var key []byte
	for _, one := range encoded {
		key = append(append(key, one...), 0xff)
	}
	return key
}

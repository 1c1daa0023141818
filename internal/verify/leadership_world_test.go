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
	testModel   = fleet.ModelVersion{Model: "m", Version: "1"}
	engineNames = [maxEngines]fleet.BackendName{"x", "y", "w"}
	startTime   = time.Unix(1000, 0)
)

// bounds bounds the model to a finite number of states.
type bounds struct {
	engines, restarts, rounds, orders, duplicates int
	// limits holds the zone's limit of the model in each generation, starting with 1, and
	// engineCounts the number of engines that the record names in it.
	limits, engineCounts []int
	// delayReplies sends the answers to claims and second reads over the network; otherwise
	// they arrive immediately.
	delayReplies bool
	// unloads lets leaders order unloads as well.
	unloads bool
	// firstLeaderAhead starts with the newest record stored and known to leader A only.
	firstLeaderAhead bool
	defects          leadership.Defects
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
			testModel: {ReplicaLimit: share.Ceiling, Zones: map[fleet.Zone]allotment.Share{zone: share}},
		},
		Zones: map[fleet.Zone]allotment.ZoneEntry{zone: {Engines: engineNames[:b.engineCounts[generation-1]]}},
	}
}

// engineModel models an engine as its contract describes it.
type engineModel struct {
	incarnation uint64
	fence       fleet.Fence
	loaded      bool
	// executedOrders is a bit set of the orders executed in this incarnation.
	executedOrders uint16
}

// leaderModel combines a core with a minimal placement of one model.
type leaderModel struct {
	core   *leadership.Core
	now    time.Time
	rounds int
	// knownGeneration is the generation of the newest record that the leader knows.
	knownGeneration int
	// claimed marks the engines of the established round, occupied those that hold a
	// replica or were ordered to load one.
	claimed, occupied [maxEngines]bool
	assumedFull       int
	// encoded is the encoding of the core in the state key, updated with each step.
	encoded []byte
}

func (l *leaderModel) replicaCount() int {
	count := l.assumedFull
	for engine, holds := range l.occupied {
		if l.claimed[engine] && holds {
			count++
		}
	}
	return count
}

type messageKind byte

const (
	readRequest messageKind = iota
	readReply
	learnRequest
	claimRequest
	claimReply
	loadOrder
	unloadOrder
)

// message is a message in flight between a leader and an engine or the store. It may
// take any time and arrive after any other.
type message struct {
	kind           messageKind
	leader, engine int
	// id is the ID of the request or of the order.
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

// zoneModel is a state of the model.
type zoneModel struct {
	bounds           *bounds
	leaders          [leaders]leaderModel
	engines          [maxEngines]engineModel
	network          []message
	storedGeneration int
	restarts         int
	orders           int
	duplicates       int
	// confirmed is set once a leader has confirmed the newest limit.
	confirmed bool
}

func newZone(bounds *bounds) *zoneModel {
	model := &zoneModel{bounds: bounds, storedGeneration: 1}
	addresses := make(map[fleet.BackendName]string)
	for engine := range bounds.engines {
		model.engines[engine].incarnation = 1
		addresses[engineNames[engine]] = string(engineNames[engine])
	}
	for index := range model.leaders {
		leader := &model.leaders[index]
		leader.now = startTime
		leader.knownGeneration = 1
		leader.core = leadership.New(leadership.Options{
			Self: fleet.NodeName(rune('A' + index)), Zone: zone, Holder: uint16(index + 1),
			Settings: leadership.DefaultSettings(), Defects: bounds.defects,
		})
		model.step(index, leadership.EnginesListed{Addresses: addresses})
		if bounds.firstLeaderAhead && index == 0 {
			model.storedGeneration = len(bounds.limits)
			leader.knownGeneration = model.storedGeneration
		}
		model.step(index, leadership.RecordReceived{Record: bounds.record(leader.knownGeneration)})
		model.step(index, leadership.LeadershipDesired{Lead: true})
	}
	return model
}

// clone copies the state, but only the core of the leader that takes the next step.
func (w *zoneModel) clone(moving int) *zoneModel {
	copied := *w
	copied.network = slices.Clone(w.network)
	if moving >= 0 {
		copied.leaders[moving].core = copyCore(w.leaders[moving].core)
	}
	return &copied
}

// step passes an input to a leader's core and applies its effects.
func (w *zoneModel) step(index int, input leadership.Message) {
	leader := &w.leaders[index]
	for _, effect := range leader.core.Step(leader.now, input) {
		switch effect := effect.(type) {
		case leadership.ReadEngine:
			w.send(message{kind: readRequest, leader: index, engine: engineIndex(effect.Engine), id: effect.ID})
		case leadership.LearnRecord:
			leader.rounds++
			w.send(message{kind: learnRequest, leader: index, id: effect.ID})
		case leadership.SendClaim:
			w.send(message{kind: claimRequest, leader: index, engine: engineIndex(effect.Engine), id: effect.ID,
				fence: effect.Fence, incarnation: effect.Incarnation})
		case leadership.RoundEstablished:
			w.roundEstablished(leader, effect)
		case leadership.RoundEnded:
			leader.claimed, leader.occupied, leader.assumedFull = [maxEngines]bool{}, [maxEngines]bool{}, 0
		}
	}
	leader.encoded = nil
	if phaseOf(leader.core) != phaseIdle || leader.rounds < w.bounds.rounds {
		leader.encoded = appendCore(nil, leader.core, leader.now)
	}
}

func (w *zoneModel) roundEstablished(leader *leaderModel, round leadership.RoundEstablished) {
	leader.assumedFull = len(round.AssumedFull)
	for name, state := range round.Held {
		engine := engineIndex(name)
		leader.claimed[engine] = true
		leader.occupied[engine] = len(state.Models) > 0
	}
}

func engineIndex(name fleet.BackendName) int { return slices.Index(engineNames[:], name) }

func (w *zoneModel) send(sent message) { w.network = append(w.network, sent) }

// dropStale removes the messages from the network that no longer have any effect on a
// leader or an engine.
func (w *zoneModel) dropStale() {
	w.network = slices.DeleteFunc(w.network, func(sent message) bool {
		core := w.leaders[sent.leader].core
		engine := w.engines[sent.engine]
		stale := sent.incarnation != engine.incarnation || sent.fence < engine.fence
		switch sent.kind {
		case learnRequest:
			return phaseOf(core) != phaseLearning
		case loadOrder, unloadOrder:
			return stale && (!core.Leading() || core.Fence() != sent.fence)
		case claimRequest:
			return (stale || sent.fence == engine.fence) && pendingRequestID(core, engineNames[sent.engine]) != sent.id
		default:
			return pendingRequestID(core, engineNames[sent.engine]) != sent.id
		}
	})
}

// loaded returns the actual number of replicas.
func (w *zoneModel) loaded() int {
	count := 0
	for _, engine := range w.engines {
		if engine.loaded {
			count++
		}
	}
	return count
}

// allowed returns the maximum number of replicas that may be loaded.
func (w *zoneModel) allowed() int {
	if w.confirmed {
		return w.bounds.limits[w.storedGeneration-1]
	}
	return slices.Max(w.bounds.limits)
}

func (w *zoneModel) violation() string {
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
		key = append(key, byte(leader.rounds), byte(leader.knownGeneration), byte(leader.assumedFull))
		for engine := range maxEngines {
			key = appendBool(appendBool(key, leader.claimed[engine]), leader.occupied[engine])
		}
	}
	for _, engine := range w.engines {
		key = binary.AppendUvarint(key, engine.incarnation)
		key = binary.AppendUvarint(key, uint64(engine.fence))
		key = binary.AppendUvarint(appendBool(key, engine.loaded), uint64(engine.executedOrders))
	}
	key = append(key, byte(w.storedGeneration), byte(w.restarts), byte(w.orders), byte(w.duplicates))
	key = appendBool(key, w.confirmed)
	return xxhash.Sum64(append(key, w.networkKey()...))
}

// networkKey encodes the messages independently of their order.
func (w *zoneModel) networkKey() []byte {
	encoded := make([]string, 0, len(w.network))
	for _, sent := range w.network {
		id := sent.id
		if sent.kind < loadOrder {
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

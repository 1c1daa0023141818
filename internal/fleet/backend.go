package fleet

import "time"

// BackendKind tells engines from plain command servers.
type BackendKind string

// The kinds of back end.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// Backend is a back end as the platform's machine list or the back end itself
// names it.
type Backend struct {
	Name    BackendName `json:"name"`
	Kind    BackendKind `json:"kind"`
	Zone    Zone        `json:"zone"`
	Rack    string      `json:"rack,omitempty"`
	Address string      `json:"address"`
	// Service is the declared service that a service back end runs.
	Service string `json:"service,omitempty"`
	// Leaving is set once the back end or the machine list says that the
	// machine goes away: no new work may be sent to it.
	Leaving bool `json:"leaving,omitempty"`
}

// Tier is where a checkpoint lies, as seen from one engine.
type Tier string

// Tiers from fastest to slowest.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// LoadState is the state of one model on one engine.
type LoadState string

// The states of a model on an engine. Loading, ready and unloading all count
// as a replica, and all hold accelerator memory.
const (
	LoadLoading   LoadState = "loading"
	LoadReady     LoadState = "ready"
	LoadUnloading LoadState = "unloading"
)

// LoadedModel is one model in an engine's accelerator memory.
type LoadedModel struct {
	Model    ModelVersion  `json:"model"`
	State    LoadState     `json:"state"`
	Bytes    int64         `json:"bytes"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	// ReadySince is when the model became ready; zero while it loads.
	ReadySince time.Time `json:"readySince,omitzero"`
}

// LoadReport is an engine's own account of its work. It lags.
type LoadReport struct {
	AsOf time.Time `json:"asOf"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are the prompt and answer tokens still to be worked off.
	QueuedTokens int64 `json:"queuedTokens"`
	// TokensPerSecond is the engine's present rate of generation.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// KVUsedBytes is the KV cache in use.
	KVUsedBytes int64 `json:"kvUsedBytes"`
}

// EngineState is all that an engine tells of itself.
type EngineState struct {
	Backend
	// Incarnation differs for each start of the engine; a restarted engine
	// holds nothing and has forgotten its fence.
	Incarnation uint64 `json:"incarnation"`
	Fence       Fence  `json:"fence"`
	Role        string `json:"role,omitempty"`
	// MemoryBytes is accelerator memory in all; KVReserveBytes of it are
	// kept for KV cache and not for models.
	MemoryBytes    int64                 `json:"memoryBytes"`
	KVReserveBytes int64                 `json:"kvReserveBytes"`
	Models         []LoadedModel         `json:"models,omitempty"`
	Tiers          map[ModelVersion]Tier `json:"tiers,omitempty"`
	Report         LoadReport            `json:"report"`
}

// UsedBytes is the accelerator memory held by models, adapters included.
func (e EngineState) UsedBytes() int64 {
	var used int64
	for _, loaded := range e.Models {
		used += loaded.Bytes
	}
	return used
}

// FreeBytes is the memory that further models and adapters may take.
func (e EngineState) FreeBytes() int64 {
	return e.MemoryBytes - e.KVReserveBytes - e.UsedBytes()
}

// Find returns the engine's entry for a model, or nil.
func (e EngineState) Find(model ModelVersion) *LoadedModel {
	for index := range e.Models {
		if e.Models[index].Model == model {
			return &e.Models[index]
		}
	}
	return nil
}

// RouteTable is what a zone's leader publishes of the zone's back ends.
// Tables of one zone are ordered by (Fence, Sequence).
type RouteTable struct {
	Zone     Zone          `json:"zone"`
	Leader   NodeName      `json:"leader"`
	Fence    Fence         `json:"fence"`
	Sequence uint64        `json:"sequence"`
	Engines  []EngineState `json:"engines"`
	Services []Backend     `json:"services"`
	// WaitingLoads counts the zone's loads of models without any replica which
	// wait for their turn at the weight store.
	WaitingLoads int `json:"waitingLoads,omitempty"`
	// Refusals are of loads that the leader has just found impossible, for the
	// nodes of the zone that wait; a table at rest has none.
	Refusals []LoadRefusal `json:"refusals,omitempty"`
}

// Newer reports whether the table replaces the other one of the same zone.
func (t RouteTable) Newer(other RouteTable) bool {
	if t.Fence != other.Fence {
		return t.Fence > other.Fence
	}
	return t.Sequence > other.Sequence
}

// Want says that requests wait for a model at one node.
type Want struct {
	Model   ModelVersion `json:"model"`
	Adapter AdapterName  `json:"adapter,omitempty"`
	// Regions are those in which the requests may run.
	Regions Regions  `json:"regions,omitempty"`
	Node    NodeName `json:"node"`
	Zone    Zone     `json:"zone"`
	// Waiting counts the requests queued at the node for the model.
	Waiting int `json:"waiting"`
	// Priority is the highest of them; larger goes first.
	Priority int `json:"priority"`
	// Deadline is the earliest of them.
	Deadline time.Time `json:"deadline"`
	// Arrivals counts requests that came since the last want, also those
	// that did not have to wait, so that the leader learns the idle times.
	Arrivals int `json:"arrivals"`
}

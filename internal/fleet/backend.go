package fleet

import "time"

// BackendKind distinguishes engines from plain command servers.
type BackendKind string

// The kinds of back end.
const (
	KindEngine  BackendKind = "engine"
	KindService BackendKind = "service"
)

// Backend is a back end as described by the platform's machine list or by itself.
type Backend struct {
	Name    BackendName `json:"name"`
	Kind    BackendKind `json:"kind"`
	Zone    Zone        `json:"zone"`
	Rack    string      `json:"rack,omitempty"`
	Address string      `json:"address"`
	// Service is the declared service that a service back end runs.
	Service string `json:"service,omitempty"`
	// Leaving is set once the back end or the machine list reports that the machine is being
	// removed: no new work may be sent to it.
	Leaving bool `json:"leaving,omitempty"`
}

// Tier is where a checkpoint is stored, as seen from one engine.
type Tier string

// Tiers from fastest to slowest.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// LoadState is the state of one model on one engine.
type LoadState string

// The states of a model on an engine. A model in any of them counts as a replica and occupies
// accelerator memory.
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

// LoadReport is an engine's own report of its work. It lags behind.
type LoadReport struct {
	AsOf time.Time `json:"asOf"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens are the prompt and answer tokens still to be processed.
	QueuedTokens int64 `json:"queuedTokens"`
	// TokensPerSecond is the engine's current generation rate.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// KVUsedBytes is the size of the KV cache in use.
	KVUsedBytes int64 `json:"kvUsedBytes"`
}

// EngineState is everything that an engine reports about itself.
type EngineState struct {
	Backend
	// Incarnation differs for each start of the engine; a restarted engine holds no models and no
	// fence.
	Incarnation uint64 `json:"incarnation"`
	Fence       Fence  `json:"fence"`
	Role        string `json:"role,omitempty"`
	// MemoryBytes is the total accelerator memory; KVReserveBytes of it are reserved for KV cache
	// and not available to models.
	MemoryBytes    int64                 `json:"memoryBytes"`
	KVReserveBytes int64                 `json:"kvReserveBytes"`
	Models         []LoadedModel         `json:"models,omitempty"`
	Tiers          map[ModelVersion]Tier `json:"tiers,omitempty"`
	Report         LoadReport            `json:"report"`
}

// UsedBytes returns the accelerator memory used by models, adapters included.
func (e EngineState) UsedBytes() int64 {
	var used int64
	for _, loaded := range e.Models {
		used += loaded.Bytes
	}
	return used
}

// FreeBytes returns the memory available to further models and adapters.
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

// RouteTable is a zone's back ends as published by the zone's leader. Tables of one zone are
// ordered by (Fence, Sequence).
type RouteTable struct {
	Zone     Zone          `json:"zone"`
	Leader   NodeName      `json:"leader"`
	Fence    Fence         `json:"fence"`
	Sequence uint64        `json:"sequence"`
	Engines  []EngineState `json:"engines"`
	Services []Backend     `json:"services"`
	// WaitingLoads counts the zone's loads of models without any replica that are queued for the
	// weight store.
	WaitingLoads int `json:"waitingLoads,omitempty"`
	// Refusals are the loads that the leader has just rejected as impossible, for the zone's nodes
	// with waiting requests; usually there are none.
	Refusals []LoadRefusal `json:"refusals,omitempty"`
}

// Newer reports whether the table replaces the other one of the same zone.
func (t RouteTable) Newer(other RouteTable) bool {
	if t.Fence != other.Fence {
		return t.Fence > other.Fence
	}
	return t.Sequence > other.Sequence
}

// Want reports requests that wait for a model on one node.
type Want struct {
	Model   ModelVersion `json:"model"`
	Adapter AdapterName  `json:"adapter,omitempty"`
	// Regions are those in which the requests may run.
	Regions Regions  `json:"regions,omitempty"`
	Node    NodeName `json:"node"`
	Zone    Zone     `json:"zone"`
	// Waiting counts the requests queued at the node for the model.
	Waiting int `json:"waiting"`
	// Priority is the highest priority among them; larger goes first.
	Priority int `json:"priority"`
	// Deadline is the earliest deadline among them.
	Deadline time.Time `json:"deadline"`
	// Arrivals counts the requests that arrived since the last want, including those that did not
	// have to wait, from which the leader derives idle times.
	Arrivals int `json:"arrivals"`
}

package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is an input of the core.
type Message interface{ message() }

// Tick reports that time has passed.
type Tick struct{}

// CatalogChanged contains the declared models and adapters.
type CatalogChanged struct {
	Models   []catalog.ModelInfo
	Adapters []catalog.AdapterInfo
	// ColdStartWeight is from 0 (only idle accelerator hours count) to 1 (only the
	// cold-start tail counts).
	ColdStartWeight float64
	// Evacuated is set while the zone is out of service; nothing is loaded then.
	Evacuated bool
}

// RoundBegan reports that a claim round is established.
type RoundBegan struct {
	Fence fleet.Fence
	Held  map[fleet.BackendName]fleet.EngineState
	// AssumedFull are engines without a known state; each counts as holding every model.
	AssumedFull []fleet.BackendName
}

// RoundEnded reports that no further order may be sent.
type RoundEnded struct{}

// LimitsChanged contains the zone's allotment.
type LimitsChanged struct {
	// Limits is the maximum number of replicas in the zone.
	Limits map[fleet.ModelVersion]int
	// Standing is the zone's part of the replicas to keep ready.
	Standing map[fleet.ModelVersion]int
	// Zones and ZoneIndex determine the zone's guaranteed share of the weight
	// store.
	Zones     int
	ZoneIndex int
}

// StoreUsage contains the other zones' use of the weight store.
type StoreUsage struct {
	// Loading counts the running loads, Waiting those waiting to start.
	Loading, Waiting int
	// UnknownZones counts the zones whose use is not known.
	UnknownZones int
}

// ReplicasElsewhere names the models that other zones have ready or are loading.
type ReplicasElsewhere struct{ Models map[fleet.ModelVersion]bool }

// ModelsDisplaced names the models to preload because all their replicas were in evacuated
// zones.
type ModelsDisplaced struct{ Models map[fleet.ModelVersion]bool }

// EnginesGone names engines whose machines are permanently gone.
type EnginesGone struct{ Engines []fleet.BackendName }

// EnginesLeaving names engines that are shutting down and get no further loads.
type EnginesLeaving struct{ Engines []fleet.BackendName }

// EngineUnresponsive reports whether an engine has stopped responding: its replicas count
// towards the limits but serve no requests.
type EngineUnresponsive struct {
	Engine       fleet.BackendName
	Unresponsive bool
}

// EngineStateReceived contains an engine's state that was queried after the position
// QuerySequence in the sequence of queries.
type EngineStateReceived struct {
	QuerySequence uint64
	State         fleet.EngineState
}

// WantsReported contains the requests that wait at one node; it replaces the node's
// earlier wants for the same models.
type WantsReported struct{ Wants []fleet.Want }

// OrderAnswered reports the result of an order.
type OrderAnswered struct {
	ID     string
	Result OrderResult
	// Reason is set where the engine refused the order for a reason other than
	// its fence.
	Reason string
	// QuerySequence is the position in the sequence of queries when the answer was
	// received: states queried later show the order's effect.
	QuerySequence uint64
}

// OrderResult is the result of an order.
type OrderResult int

// Results of an order.
const (
	// OrderUnanswered means that no answer was received: the order may take effect
	// at any time until the round ends.
	OrderUnanswered OrderResult = iota
	OrderAccepted
	OrderRefused
)

func (Tick) message()                {}
func (CatalogChanged) message()      {}
func (RoundBegan) message()          {}
func (RoundEnded) message()          {}
func (LimitsChanged) message()       {}
func (StoreUsage) message()          {}
func (ReplicasElsewhere) message()   {}
func (ModelsDisplaced) message()     {}
func (EnginesGone) message()         {}
func (EnginesLeaving) message()      {}
func (EngineUnresponsive) message()  {}
func (EngineStateReceived) message() {}
func (WantsReported) message()       {}
func (OrderAnswered) message()       {}

// Effect is an action for the caller of Step to carry out.
type Effect interface{ effect() }

// SendOrder sends an order under the round's fence.
type SendOrder struct {
	Engine fleet.BackendName
	Order  backend.Order
	// Evicts is set for an unload that frees memory for another model.
	Evicts bool
}

// Refuse informs nodes that a model cannot be loaded in this zone now.
type Refuse struct {
	Refusal fleet.LoadRefusal
	// PossibleElsewhere is set where another zone may be able to load the model.
	PossibleElsewhere bool
	// Since is when the unserved wants for the model began.
	Since time.Time
	// Permanent is set where the model fits no engine of the zone.
	Permanent bool
}

// RequestNewRound requests a new round, so that an order without an answer can no
// longer take effect.
type RequestNewRound struct{}

func (SendOrder) effect()       {}
func (Refuse) effect()          {}
func (RequestNewRound) effect() {}

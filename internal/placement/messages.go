package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is what the core is told.
type Message interface{ message() }

// Tick says that time has passed.
type Tick struct{}

// CatalogChanged gives what is declared.
type CatalogChanged struct {
	Models   []catalog.ModelInfo
	Adapters []catalog.AdapterInfo
	// ColdStartWeight is from 0 (only idle hours count) to 1 (only the tail).
	ColdStartWeight float64
	// Evacuated is set while the zone is out of service: nothing is loaded.
	Evacuated bool
}

// RoundBegan says that a claim round is established.
type RoundBegan struct {
	Fence fleet.Fence
	Held  map[fleet.BackendName]fleet.EngineState
	// AssumedFull are engines that count as holding every model.
	AssumedFull []fleet.BackendName
}

// RoundEnded says that no order may be sent any more.
type RoundEnded struct{}

// LimitsChanged gives the zone's allotment.
type LimitsChanged struct {
	// Limits are the replicas that the zone may load up to.
	Limits map[fleet.ModelVersion]int
	// Standing is the zone's part of the replicas to keep ready.
	Standing map[fleet.ModelVersion]int
	// Zones and ZoneIndex give the part of the weight store that is the zone's
	// whatever the others do.
	Zones     int
	ZoneIndex int
}

// StoreUsage gives what the other zones take of the weight store.
type StoreUsage struct {
	// Loading counts the loads that run, Waiting those that wait for their turn.
	Loading, Waiting int
	// UnknownZones counts zones of which neither is known.
	UnknownZones int
}

// ReplicasElsewhere names the models that other zones hold ready or load.
type ReplicasElsewhere struct{ Models map[fleet.ModelVersion]bool }

// ModelsDisplaced names the models to load ahead of their next request, since they stood
// only in zones that are evacuated.
type ModelsDisplaced struct{ Models map[fleet.ModelVersion]bool }

// EnginesGone names engines whose machines are gone for good.
type EnginesGone struct{ Engines []fleet.BackendName }

// EnginesLeaving names engines that go away: they get no further load.
type EnginesLeaving struct{ Engines []fleet.BackendName }

// EngineUnresponsive says whether an engine has stopped to answer: its replicas are
// counted but serve nobody.
type EngineUnresponsive struct {
	Engine       fleet.BackendName
	Unresponsive bool
}

// EngineStateReceived gives a state that was asked for after the point in the sequence
// of questions that Asked names.
type EngineStateReceived struct {
	QuerySequence uint64
	State         fleet.EngineState
}

// WantsReported gives what waits at one node; it replaces what the node
// reported before for these models.
type WantsReported struct{ Wants []fleet.Want }

// OrderAnswered tells how an order ended.
type OrderAnswered struct {
	ID     string
	Result OrderResult
	// Reason is set where the engine refused it for another cause than its
	// fence.
	Reason string
	// QuerySequence is the point in the sequence of questions at the answer: states
	// asked for later show the order's effect.
	QuerySequence uint64
}

// OrderResult is how an order ended.
type OrderResult int

// The ends of an order.
const (
	// OrderUnanswered means that no answer came: it may take effect at any time
	// until the round ends.
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

// Effect is what is to be done.
type Effect interface{ effect() }

// SendOrder sends an order under the round's fence.
type SendOrder struct {
	Engine fleet.BackendName
	Order  backend.Order
	// Evicts is set on an unload that makes room for another model.
	Evicts bool
}

// Refuse tells nodes that models cannot be loaded in this zone now.
type Refuse struct {
	Refusal fleet.LoadRefusal
	// PossibleElsewhere is set where another zone may be able to.
	PossibleElsewhere bool
	// Since is when the model was first wanted in vain.
	Since time.Time
	// Permanent is set where no engine of the zone could ever hold the model.
	Permanent bool
}

// RequestNewRound asks for a new round, so that a lost order can no longer take
// effect.
type RequestNewRound struct{}

func (SendOrder) effect()       {}
func (Refuse) effect()          {}
func (RequestNewRound) effect() {}

package catalog

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// ModelRoute says how a request for a model is to be treated.
type ModelRoute struct {
	// Selector is the declared selector that matched, empty when the request
	// named a deployment itself.
	Selector   string
	Deployment fleet.DeploymentName
	Adapter    fleet.AdapterName
	// Versions are the model versions to choose from, by weight.
	Versions []WeightedModel
	Priority int
	// Deadline bounds the time until the first token.
	Deadline time.Duration
	Limits   spec.Limits
	// ContextTokens bounds prompt and answer together; 0 is without bound.
	ContextTokens int
}

// WeightedModel is one version with its share of the traffic.
type WeightedModel struct {
	Model  fleet.ModelVersion
	Weight int
}

// ServiceRoute says how a plain call is to be treated.
type ServiceRoute struct {
	Service    string
	PathPrefix string
	// Repeatable holds whether the call's method may be sent twice.
	Repeatable bool
	Deadline   time.Duration
	KeyWindow  time.Duration
	Limits     spec.Limits
}

// ModelFacts is what placement needs to know of one model version.
type ModelFacts struct {
	Model           fleet.ModelVersion
	MemoryBytes     int64
	CheckpointBytes int64
	MinReplicas     int
	MaxReplicas     int
	// StandingReplicas is the largest standing capacity that names it.
	StandingReplicas int
	// Priority is the largest priority of the selectors that lead to it.
	Priority int
}

// AdapterFacts is what placement needs to know of one adapter.
type AdapterFacts struct {
	Adapter     fleet.AdapterName
	Model       string
	MemoryBytes int64
}

package spec

import "time"

// Kind names the kind of a declared object.
type Kind string

// The declared kinds.
const (
	KindModel       Kind = "Model"
	KindAdapter     Kind = "Adapter"
	KindDeployment  Kind = "Deployment"
	KindSelector    Kind = "Selector"
	KindService     Kind = "Service"
	KindCapacity    Kind = "Capacity"
	KindPreferences Kind = "Preferences"
	KindEvacuation  Kind = "Evacuation"
	KindRegion      Kind = "Region"
	KindTenant      Kind = "Tenant"
)

// Metadata names and labels an object.
type Metadata struct {
	Name   string            `yaml:"name" json:"name"`
	Labels map[string]string `yaml:"labels,omitempty" json:"labels,omitempty"`
}

// Bytes is a size; YAML takes a number or a quantity such as 14GiB.
type Bytes int64

// Duration is a time span; YAML takes Go's form such as 1m30s.
type Duration time.Duration

// Model declares base weights in one or more versions.
type Model struct {
	Versions      []ModelVersion `yaml:"versions" json:"versions"`
	ContextTokens int            `yaml:"contextTokens,omitempty" json:"contextTokens,omitempty"`
	// Replicas bounds the replicas of each version in the whole fleet.
	Replicas ReplicaBounds `yaml:"replicas,omitempty" json:"replicas,omitempty"`
}

// ModelVersion is one set of weights of a model.
type ModelVersion struct {
	Name string `yaml:"name" json:"name"`
	// Memory is the accelerator memory that the weights take.
	Memory Bytes `yaml:"memory" json:"memory"`
	// Checkpoint is the size read from the weight store at a load.
	Checkpoint Bytes `yaml:"checkpoint" json:"checkpoint"`
}

// ReplicaBounds are the least and most replicas; both default to 0 and 1.
type ReplicaBounds struct {
	Min int `yaml:"min,omitempty" json:"min,omitempty"`
	Max int `yaml:"max,omitempty" json:"max,omitempty"`
}

// Adapter declares a low-rank adapter of a model.
type Adapter struct {
	Model  string `yaml:"model" json:"model"`
	Memory Bytes  `yaml:"memory" json:"memory"`
}

// Deployment offers a model, possibly with an adapter, under labels that
// selectors choose by. Weights split the traffic between versions.
type Deployment struct {
	Model    string            `yaml:"model" json:"model"`
	Adapter  string            `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	Versions []WeightedVersion `yaml:"versions" json:"versions"`
}

// WeightedVersion gives a version its share of a deployment's traffic.
type WeightedVersion struct {
	Name   string `yaml:"name" json:"name"`
	Weight int    `yaml:"weight" json:"weight"`
}

// Operator relates a label to values.
type Operator string

// The operators of a requirement.
const (
	OperatorIn           Operator = "In"
	OperatorNotIn        Operator = "NotIn"
	OperatorExists       Operator = "Exists"
	OperatorDoesNotExist Operator = "DoesNotExist"
)

// Requirement is one condition on labels.
type Requirement struct {
	Key      string   `yaml:"key" json:"key"`
	Operator Operator `yaml:"operator" json:"operator"`
	Values   []string `yaml:"values,omitempty" json:"values,omitempty"`
}

// LabelSelector holds when all its conditions hold.
type LabelSelector struct {
	MatchLabels      map[string]string `yaml:"matchLabels,omitempty" json:"matchLabels,omitempty"`
	MatchExpressions []Requirement     `yaml:"matchExpressions,omitempty" json:"matchExpressions,omitempty"`
}

// Selector says which requests go to which deployments, and how urgently.
// Request labels come from the X-Spanlanding-Labels header ("k=v,k=v"); the
// body's model field is added as the label "model". The matching selector
// with the largest Precedence is taken; among equals the one with the most
// conditions.
type Selector struct {
	Match       LabelSelector `yaml:"match" json:"match"`
	Deployments LabelSelector `yaml:"deployments" json:"deployments"`
	Precedence  int           `yaml:"precedence,omitempty" json:"precedence,omitempty"`
	// Priority orders waiting requests; larger goes first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Deadline bounds the time until the first token; default 30 s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	Limits   Limits   `yaml:"limits,omitempty" json:"limits,omitempty"`
	// Regions are those in which the requests may run; all where it is left out.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Limits bound the traffic of one selector over the whole fleet; zero is
// without limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
}

// Service declares plain command calls that go to service back ends.
type Service struct {
	// PathPrefix is where callers reach it, such as /turbines/.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Repeatable lists further methods, beside GET and HEAD, that may be sent
	// twice.
	Repeatable []string `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Deadline bounds the whole call; default 5 s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// KeyWindow is how long an Idempotency-Key is remembered; default 10m.
	KeyWindow Duration `yaml:"keyWindow,omitempty" json:"keyWindow,omitempty"`
	Limits    Limits   `yaml:"limits,omitempty" json:"limits,omitempty"`
	// Regions are those in which the calls may run; all where it is left out.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Capacity keeps replicas standing for the deployments that a selector of
// labels names.
type Capacity struct {
	Deployments LabelSelector `yaml:"deployments" json:"deployments"`
	// Replicas is kept ready for each model version selected.
	Replicas int `yaml:"replicas" json:"replicas"`
}

// Preferences weigh the two measures against each other.
type Preferences struct {
	// ColdStartWeight from 0 (only idle accelerator hours count) to 1 (only
	// the cold-start tail counts); default 0.5.
	ColdStartWeight float64 `yaml:"coldStartWeight" json:"coldStartWeight"`
}

// Evacuation takes a zone out of service while it is declared; its name is the
// zone. No request and no load goes to the zone's back ends.
type Evacuation struct {
	// Reason tells other operators why; it decides nothing.
	Reason string `yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Region groups zones. Selectors and services may bind what they take to regions.
type Region struct {
	Zones []string `yaml:"zones" json:"zones"`
}

// Tenant is a customer of the operators, known by its API keys. Where one is declared,
// every call needs a key.
type Tenant struct {
	// Keys are the SHA-256 digests of the keys, in hex.
	Keys  []string    `yaml:"keys" json:"keys"`
	Quota TenantQuota `yaml:"quota,omitempty" json:"quota,omitempty"`
	// Regions are those in which the tenant's requests may run; all where it is left out.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// TenantQuota bounds what a tenant's requests count over all nodes, in requests or in
// tokens of prompt and answer.
type TenantQuota struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`
	// Burst is what may come at once beyond the rate.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty"`
}

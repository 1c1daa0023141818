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

// Metadata holds an object's name and labels.
type Metadata struct {
	Name   string            `yaml:"name" json:"name"`
	Labels map[string]string `yaml:"labels,omitempty" json:"labels,omitempty"`
}

// Bytes is a size; in YAML it is a number of bytes or a quantity such as 14GiB.
type Bytes int64

// Duration is a time span; in YAML it has the form of Go durations, such as 1m30s.
type Duration time.Duration

// Model declares a base model in one or more versions.
type Model struct {
	Versions      []ModelVersion `yaml:"versions" json:"versions"`
	ContextTokens int            `yaml:"contextTokens,omitempty" json:"contextTokens,omitempty"`
	// Replicas bounds the number of replicas of each version in the whole fleet.
	Replicas ReplicaBounds `yaml:"replicas,omitempty" json:"replicas,omitempty"`
}

// ModelVersion is one set of weights of a model.
type ModelVersion struct {
	Name string `yaml:"name" json:"name"`
	// Memory is the accelerator memory that the weights occupy.
	Memory Bytes `yaml:"memory" json:"memory"`
	// Checkpoint is the number of bytes read from the weight store for each load.
	Checkpoint Bytes `yaml:"checkpoint" json:"checkpoint"`
}

// ReplicaBounds are the minimum and maximum number of replicas; they default to 0 and 1.
type ReplicaBounds struct {
	Min int `yaml:"min,omitempty" json:"min,omitempty"`
	Max int `yaml:"max,omitempty" json:"max,omitempty"`
}

// Adapter declares a low-rank adapter of a model.
type Adapter struct {
	Model  string `yaml:"model" json:"model"`
	Memory Bytes  `yaml:"memory" json:"memory"`
}

// Deployment offers a model, optionally with an adapter, under labels that selectors
// match. Weights split the traffic between versions.
type Deployment struct {
	Model    string            `yaml:"model" json:"model"`
	Adapter  string            `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	Versions []WeightedVersion `yaml:"versions" json:"versions"`
}

// WeightedVersion assigns a version its share of a deployment's traffic.
type WeightedVersion struct {
	Name   string `yaml:"name" json:"name"`
	Weight int    `yaml:"weight" json:"weight"`
}

// Operator is the relation between a label and the values of a requirement.
type Operator string

// The operators of a requirement.
const (
	OperatorIn           Operator = "In"
	OperatorNotIn        Operator = "NotIn"
	OperatorExists       Operator = "Exists"
	OperatorDoesNotExist Operator = "DoesNotExist"
)

// Requirement is a single condition on labels.
type Requirement struct {
	Key      string   `yaml:"key" json:"key"`
	Operator Operator `yaml:"operator" json:"operator"`
	Values   []string `yaml:"values,omitempty" json:"values,omitempty"`
}

// LabelSelector matches labels that meet all of its conditions.
type LabelSelector struct {
	MatchLabels      map[string]string `yaml:"matchLabels,omitempty" json:"matchLabels,omitempty"`
	MatchExpressions []Requirement     `yaml:"matchExpressions,omitempty" json:"matchExpressions,omitempty"`
}

// Selector determines which requests go to which deployments, and with which priority.
// Request labels come from the X-Spanlanding-Labels header ("k=v,k=v"); the
// body's model field is added as the label "model". Of the matching selectors the
// one with the largest Precedence applies; among equals the one with the most
// conditions.
type Selector struct {
	Match       LabelSelector `yaml:"match" json:"match"`
	Deployments LabelSelector `yaml:"deployments" json:"deployments"`
	Precedence  int           `yaml:"precedence,omitempty" json:"precedence,omitempty"`
	// Priority orders waiting requests; larger values go first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Deadline bounds the time until the first token; the default is 30 s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	Limits   Limits   `yaml:"limits,omitempty" json:"limits,omitempty"`
	// Regions lists the regions in which the requests may run; if omitted, all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Limits bound the traffic of one selector or service over the whole fleet; zero means
// no limit.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	Concurrency       int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
}

// Service declares plain calls that go to service back ends.
type Service struct {
	// PathPrefix is the prefix of the service's URL paths, such as /turbines/.
	PathPrefix string `yaml:"pathPrefix" json:"pathPrefix"`
	// Repeatable lists methods besides GET and HEAD that may be sent twice.
	Repeatable []string `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Deadline bounds the whole call; the default is 5 s.
	Deadline Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	// KeyWindow is how long an Idempotency-Key is remembered; the default is 10m.
	KeyWindow Duration `yaml:"keyWindow,omitempty" json:"keyWindow,omitempty"`
	Limits    Limits   `yaml:"limits,omitempty" json:"limits,omitempty"`
	// Regions lists the regions in which the calls may run; if omitted, all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Capacity keeps a minimum number of replicas ready for the deployments that a label
// selector matches.
type Capacity struct {
	Deployments LabelSelector `yaml:"deployments" json:"deployments"`
	// Replicas is the number of replicas kept ready for each selected model version.
	Replicas int `yaml:"replicas" json:"replicas"`
}

// Preferences weigh accelerator idle time against cold-start latency.
type Preferences struct {
	// ColdStartWeight ranges from 0 (only idle accelerator hours count) to 1 (only
	// the cold-start tail latency counts); the default is 0.5.
	ColdStartWeight float64 `yaml:"coldStartWeight" json:"coldStartWeight"`
}

// Evacuation takes a zone out of service as long as it is declared; its name is the
// zone's name. No request and no load goes to the zone's back ends.
type Evacuation struct {
	// Reason is information for other operators; it has no effect.
	Reason string `yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Region groups zones. Selectors, services and tenants may restrict requests to regions.
type Region struct {
	Zones []string `yaml:"zones" json:"zones"`
}

// Tenant is a customer of the operators, identified by its API keys. Once a tenant is
// declared, every call needs a key.
type Tenant struct {
	// Keys are the SHA-256 digests of the API keys, in hex.
	Keys  []string    `yaml:"keys" json:"keys"`
	Quota TenantQuota `yaml:"quota,omitempty" json:"quota,omitempty"`
	// Regions lists the regions in which the tenant's requests may run; if omitted, all.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// TenantQuota bounds a tenant's usage over all nodes, in requests or in tokens of
// prompt and answer.
type TenantQuota struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`
	// Burst is how much may be used at once beyond the rate.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty"`
}

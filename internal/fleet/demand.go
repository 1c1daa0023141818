package fleet

import "time"

// LoadRefusal says that a model cannot be loaded now.
type LoadRefusal struct {
	Model ModelVersion `json:"model"`
	// Regions are those of the wants that are refused.
	Regions Regions `json:"regions,omitempty"`
	Reason  string  `json:"reason"`
	// RetryAfter is when a load may be possible.
	RetryAfter time.Duration `json:"retryAfter"`
}

// DemandReporter takes what waits at a node to whoever decides on loads.
type DemandReporter interface {
	// Report hands over wants; it does not block.
	Report(wants []Want)
	// OnRefusal registers who is told of models that cannot be loaded now.
	OnRefusal(func([]LoadRefusal))
}

package fleet

import "time"

// LoadRefusal reports that a model cannot be loaded now.
type LoadRefusal struct {
	Model ModelVersion `json:"model"`
	// Regions are those of the refused wants.
	Regions Regions `json:"regions,omitempty"`
	Reason  string  `json:"reason"`
	// RetryAfter is when a load may be possible.
	RetryAfter time.Duration `json:"retryAfter"`
}

// DemandReporter passes the demand at a node to whichever component decides on loads.
type DemandReporter interface {
	// Report passes on wants; it does not block.
	Report(wants []Want)
	// OnRefusal registers a callback for models that cannot be loaded now.
	OnRefusal(func([]LoadRefusal))
}

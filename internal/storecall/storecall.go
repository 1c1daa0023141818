// Package storecall describes calls to the object store, for logs and metrics.
//
// It may import the standard library only.
package storecall

import "time"

// Call is one call that was made.
type Call struct {
	Method string
	Kind   string
	// Status is 0 where no answer came.
	Status   int
	Duration time.Duration
	// Era is what the answer names as the store's era, as it came; empty where it names none.
	Era string
	// EraError is why that is not believed; nil where it is.
	EraError error
	// FromRevision is the revision that a watch began at; empty of other calls.
	FromRevision string
	// AtRevision is the revision that the answer is from; 0 where it names none.
	AtRevision int64
}

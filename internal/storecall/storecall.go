// Package storecall describes calls to the object store, for logs and metrics. The store client
// reports each call as a Call.
//
// It may import the standard library only.
package storecall

import "time"

// Call is one call that was made.
type Call struct {
	Method string
	Kind   string
	// Status is the HTTP status, 0 if there was no response.
	Status   int
	Duration time.Duration
	// Era is the store's era as given in the response, unparsed; empty if there is none.
	Era string
	// EraError is why the era was rejected; nil if it was accepted.
	EraError error
	// FromRevision is the revision at which a watch began; empty for other calls.
	FromRevision string
	// AtRevision is the revision of the response; 0 if it contains none.
	AtRevision int64
}

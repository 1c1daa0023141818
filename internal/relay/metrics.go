package relay

import (
	"sync/atomic"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Outcomes of requests.
const (
	// outcomeAnswered is a server's answer, whatever it says.
	outcomeAnswered = "answered"
	// outcomeRefused is a request that has not run and never will.
	outcomeRefused = "refused"
	// outcomeFailed is one that may have run.
	outcomeFailed = "failed"
	// outcomeCut is an answer that was broken off.
	outcomeCut = "cut"
	// outcomeLeft is one whose caller is gone.
	outcomeLeft = "left"
	// outcomeDenied is one that no configuration allows, or that is malformed.
	outcomeDenied = "denied"
)

// Metrics counts what led to final answers.
type Metrics struct {
	Retries       atomic.Int64
	Resumed       atomic.Int64
	Rejected      atomic.Int64
	BudgetEmpty   atomic.Int64
	DialFailures  atomic.Int64
	BarredRefused atomic.Int64
	// RegionRefused counts requests that may run in no region where a server is.
	RegionRefused atomic.Int64
	// ServerBytes are those of bodies to and from servers, by how far these are.
	ServerBytes [locality.DistanceCount]atomic.Int64
	// ColdHeld are sends that were not granted at a cold server.
	ColdHeld atomic.Int64
}

package relay

import (
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// Reachability tracks which services this node can open connections to.
type Reachability interface {
	// RecordContact records that a server of the service answered.
	RecordContact(service string)
	// RecordFailure records that no connection to the server comes up.
	RecordFailure(service, serverID string)
}

// recordContact records that a server of the request's service answered.
func (x *exchange) recordContact() {
	if x.handler.options.Reachability != nil {
		x.handler.options.Reachability.RecordContact(x.service)
	}
}

// recordUnreached records that no connection to the chosen server comes up.
func (x *exchange) recordUnreached(choice dispatch.Choice) {
	x.unreached++
	if x.handler.options.Reachability != nil && !x.callerGone() {
		x.handler.options.Reachability.RecordFailure(x.service, choice.ServerID)
	}
}

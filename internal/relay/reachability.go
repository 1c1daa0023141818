package relay

import "github.com/spanlanding/spanlanding/internal/dispatch"

// Reachability tracks which services this node can open connections to.
type Reachability interface {
	// IsUnreachable reports whether no connection to any server of the service comes up.
	IsUnreachable(service string) bool
	// RecordContact records that the server answered.
	RecordContact(service, serverID string)
	// RecordFailure records that no connection to the server comes up. It returns once it is known
	// whether that holds for the other servers of the service.
	RecordFailure(service, serverID string)
	// ReachesOthers reports whether another server that shares the way to this one accepts connections
	// now, or all others were down before.
	ReachesOthers(service, serverID string) bool
}

// recordContact records that the chosen server answered.
func (x *exchange) recordContact(choice dispatch.Choice) {
	if x.handler.options.Reachability != nil {
		x.handler.options.Reachability.RecordContact(x.service, choice.ServerID)
	}
}

// recordUnreached records that no connection to the chosen server comes up.
func (x *exchange) recordUnreached(choice dispatch.Choice) {
	x.unreached++
	if x.handler.options.Reachability != nil && !x.callerGone() {
		x.handler.options.Reachability.RecordFailure(x.service, choice.ServerID)
	}
}

// isUnreachable reports whether this node reaches no server of the request's service.
func (x *exchange) isUnreachable() bool {
	return x.handler.options.Reachability != nil && x.handler.options.Reachability.IsUnreachable(x.service)
}

// reachesOthers reports whether this node reaches servers on the way to this one at all: a node that is
// cut off from all of them may be refused connections to servers that are alive.
func (x *exchange) reachesOthers(serverID string) bool {
	reachability := x.handler.options.Reachability
	return reachability == nil || reachability.ReachesOthers(x.service, serverID)
}

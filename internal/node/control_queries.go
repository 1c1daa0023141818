package node

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// queryTimeout bounds a query to an actor of this process.
const queryTimeout = time.Second

// Server returns the handlers for the peers' calls.
func (s *Control) Server() peerpb.Control {
	return ControlService{s}
}

// Decided returns the replica limit of each model version according to the newest record
// known here.
func (s *Control) Decided() map[fleet.ModelVersion]int {
	ctx, cancel := context.WithTimeout(s.lifetime, queryTimeout)
	defer cancel()
	decided, err := queryActor(s, ctx, func(shell *Control) map[fleet.ModelVersion]int {
		replicas := make(map[fleet.ModelVersion]int)
		for model, decision := range shell.core.Record().Record.Models {
			replicas[model] = decision.ReplicaLimit
		}
		return replicas
	})
	if err != nil {
		return nil
	}
	return decided
}

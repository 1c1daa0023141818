package gateway

import (
	"context"
	"fmt"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// Suspects remembers requests under which servers ended, at whatever node, so that one
// that ends each server that runs it is sent to no more of them.
type Suspects interface {
	// Standing is what is known of a request.
	Standing(fingerprint poison.Fingerprint) poison.Status
	// Blame takes that a server ended as it had the request.
	Blame(fingerprint poison.Fingerprint, serverID string)
	// EndedWell takes that a request ended well.
	EndedWell(fingerprint poison.Fingerprint)
	// ClaimTrial asks whether this node may send a request on trial once, for all nodes.
	ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool
	// Refused takes that a copy of a barred request was refused.
	Refused(fingerprint poison.Fingerprint)
}

// suspicion is what may be held against one request.
type suspicion struct {
	gateway     *Gateway
	fingerprint poison.Fingerprint
	// isTrial is set from the claim of a trial until a send that may have left.
	isTrial bool
}

// refusalBarred is final: a time to come back at would bring the request back.
var refusalBarred = attempt.Unassigned{Code: codePoison, Detail: "servers ended under requests like this one"}

func (g *Gateway) suspicionOf(identity poison.Identity) suspicion {
	if g.options.Suspects == nil {
		return suspicion{}
	}
	return suspicion{gateway: g, fingerprint: poison.NewFingerprint(identity)}
}

func (s *suspicion) standing() poison.Status {
	if s.gateway == nil {
		return poison.StatusClear
	}
	return s.gateway.options.Suspects.Standing(s.fingerprint)
}

// refuse ends the request as a barred one.
func (s *suspicion) refuse() attempt.Unassigned {
	s.gateway.options.Suspects.Refused(s.fingerprint)
	return refusalBarred
}

// isBarred reports whether the request is to be sent to no server.
func (s *suspicion) isBarred() bool {
	return !s.isTrial && s.standing() == poison.StatusBarred
}

// mayBeSent is asked last before a send. A request on trial is sent where this node
// claims that, and is barred from then on: for copies that waited for their model, here
// or at other nodes, and for a second send of its own. The claim holds until something may
// have left: a server that is not reached is no trial.
func (s *suspicion) mayBeSent(ctx context.Context) bool {
	if s.isTrial {
		return true
	}
	switch s.standing() {
	case poison.StatusBarred:
		return false
	case poison.StatusOnTrial:
		s.isTrial = s.gateway.options.Suspects.ClaimTrial(ctx, s.fingerprint)
		return s.isTrial
	default:
		return true
	}
}

// together is a number by which copies of a suspect find the same server, so that
// several of them at once end one server; 0 for others.
func (s *suspicion) together() uint64 {
	if standing := s.standing(); standing == poison.StatusClear {
		return 0
	}
	return s.fingerprint.Key()
}

// brokeOff looks what became of a server that had the request and did not answer to the
// end: a connection that was reset and a way that was cut look the same. Where the server
// ended, and had not said that it would, the request is suspected.
func (s *suspicion) brokeOff(target fleet.Backend, broken attempt.Failure) {
	if s.gateway == nil || broken.Evidence != attempt.MaybeSent {
		return
	}
	s.isTrial = false
	if s.gateway.probes.Probe(target.Address) != backendconn.LivenessEnded {
		return
	}
	if serverID, stays := s.gateway.processOf(target); stays {
		s.gateway.options.Suspects.Blame(s.fingerprint, serverID)
	}
}

// endedWell remembers that the request ended well: it does not end each server that runs
// it.
func (s *suspicion) endedWell() {
	if s.gateway != nil {
		s.gateway.options.Suspects.EndedWell(s.fingerprint)
	}
}

// processOf names the process of a back end by the newest tables, and reports false where
// it had said that it leaves. One that starts anew under its name is another process.
func (g *Gateway) processOf(target fleet.Backend) (serverID string, stays bool) {
	tables, _ := g.options.Views.RouteTables.Get()
	table := tables[target.Zone]
	for index := range table.Engines {
		if engine := &table.Engines[index]; engine.Name == target.Name {
			return fmt.Sprintf("%s/%d", engine.Name, engine.Incarnation), !engine.Leaving
		}
	}
	for _, service := range table.Services {
		if service.Name == target.Name {
			return string(service.Name), !service.Leaving
		}
	}
	return string(target.Name), !target.Leaving
}

package gateway

import (
	"context"
	"fmt"
	"slices"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// Suspects tracks, across all nodes, requests that were running when servers crashed, so
// that a request that crashes every server is not sent to more of them.
type Suspects interface {
	// Standing returns the status of a request.
	Standing(fingerprint poison.Fingerprint) poison.Status
	// Blame records that a server ended while it ran the request.
	Blame(fingerprint poison.Fingerprint, serverID string)
	// EndedRecently returns the servers that are known to have ended a short time ago under some request.
	EndedRecently() []string
	// EndedWell records that a request completed normally.
	EndedWell(fingerprint poison.Fingerprint)
	// ClaimTrial asks for the right to send a request on trial, granted to one send across all nodes.
	ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool
	// Refused records that a copy of a barred request was refused.
	Refused(fingerprint poison.Fingerprint)
}

// poisonCheck checks one request against the suspects.
type poisonCheck struct {
	gateway     *Gateway
	fingerprint poison.Fingerprint
	// isTrial is set from the claim of a trial until an attempt whose request may have been sent.
	isTrial bool
}

// unassignedBarred has no Retry-After: it would make the caller send the request again.
var unassignedBarred = attempt.Unassigned{Code: codePoison, Detail: "servers ended under requests like this one"}

func (g *Gateway) newPoisonCheck(identity poison.Identity) poisonCheck {
	if g.options.Suspects == nil {
		return poisonCheck{}
	}
	return poisonCheck{gateway: g, fingerprint: poison.NewFingerprint(identity)}
}

func (s *poisonCheck) status() poison.Status {
	if s.gateway == nil {
		return poison.StatusClear
	}
	return s.gateway.options.Suspects.Standing(s.fingerprint)
}

// refuseBarred records the refusal and returns it.
func (s *poisonCheck) refuseBarred() attempt.Unassigned {
	s.gateway.options.Suspects.Refused(s.fingerprint)
	return unassignedBarred
}

// isBarred reports whether the request must not be sent to any server.
func (s *poisonCheck) isBarred() bool {
	return !s.isTrial && s.status() == poison.StatusBarred
}

// claimSend is the last check before a send. A request on trial is sent if this node claims
// the trial, and is barred from then on: for copies that waited for their model, here or at
// other nodes, and for a second send of its own. The claim holds until something may have
// been sent: an attempt that reaches no server is not a trial.
func (s *poisonCheck) claimSend(ctx context.Context) bool {
	if s.isTrial {
		return true
	}
	switch s.status() {
	case poison.StatusBarred:
		return false
	case poison.StatusOnTrial:
		s.isTrial = s.gateway.options.Suspects.ClaimTrial(ctx, s.fingerprint)
		return s.isTrial
	default:
		return true
	}
}

// colocationKey is a key by which copies of a suspect go to the same server, so that
// concurrent copies crash one server only; 0 for requests that are not suspected.
func (s *poisonCheck) colocationKey() uint64 {
	if status := s.status(); status == poison.StatusClear {
		return 0
	}
	return s.fingerprint.Key()
}

// recordBreak checks whether a server that had the request and broke the connection has
// crashed: a reset connection and a network fault look the same to the client. If the server
// ended without having announced that it leaves, the request is blamed.
func (s *poisonCheck) recordBreak(target fleet.Backend, cause attempt.Failure) {
	if s.gateway == nil || cause.Evidence != attempt.MaybeSent {
		return
	}
	s.isTrial = false
	if s.gateway.probes.Probe(target.Address) == backendconn.LivenessEnded {
		s.gateway.blame(s.fingerprint, target)
		return
	}
	s.gateway.background.Go(func() { s.gateway.blameIfEnding(s.fingerprint, target) })
}

// blame blames the request for the end of its server, if that had not announced it.
func (g *Gateway) blame(fingerprint poison.Fingerprint, target fleet.Backend) {
	if serverID, isStaying := g.serverProcess(target); isStaying && g.reachesOthers(target) {
		g.options.Suspects.Blame(fingerprint, serverID)
	}
}

// blameIfEnding blames the request if its server, which has broken a connection and then accepted another one,
// turns out to have ended: the kernel may close the listening socket of a process last.
func (g *Gateway) blameIfEnding(fingerprint poison.Fingerprint, target fleet.Backend) {
	ctx, cancel := context.WithTimeout(context.Background(), backendconn.LateProbeWait)
	defer cancel()
	if g.probes.ProbeAfterClose(ctx, target.Address) == backendconn.LivenessEnded {
		g.blame(fingerprint, target)
	}
}

// recordSuccess records that the request completed normally: it does not crash every
// server that runs it.
func (s *poisonCheck) recordSuccess() {
	if s.gateway != nil {
		s.gateway.options.Suspects.EndedWell(s.fingerprint)
	}
}

// maxWitnesses is the number of other back ends that are probed before a server counts as crashed.
const maxWitnesses = 8

// reachesOthers reports whether this node has a path to back ends like the target: a partition may refuse
// connections to back ends that are alive. Those of the target's kind and service are asked, else all
// others. Back ends that ended before are no witnesses, and one without others is its own.
func (g *Gateway) reachesOthers(target fleet.Backend) bool {
	tables, _ := g.options.Views.RouteTables.Get()
	var ended []string
	if g.options.Suspects != nil {
		ended = g.options.Suspects.EndedRecently()
	}
	var alike, others []process
	for _, other := range processes(tables[target.Zone]) {
		switch {
		case other.address == target.Address || slices.Contains(ended, other.serverID):
		case other.service == target.Service:
			alike = append(alike, other)
		default:
			others = append(others, other)
		}
	}
	if len(alike) == 0 {
		alike = others
	}
	for _, witness := range alike[:min(len(alike), maxWitnesses)] {
		if g.probes.Probe(witness.address) == backendconn.LivenessAlive {
			return true
		}
	}
	return len(alike) == 0
}

// process is one start of a back end. A restart under the same name is another process.
type process struct {
	serverID, address string
	name              fleet.BackendName
	// service is the declared service that it runs; empty for an engine.
	service   string
	isLeaving bool
}

// processes returns all back ends of the table.
func processes(table fleet.RouteTable) (all []process) {
	for index := range table.Engines {
		engine := &table.Engines[index]
		all = append(all, process{fmt.Sprintf("%s/%d", engine.Name, engine.Incarnation), engine.Address, engine.Name, engine.Service, engine.Leaving})
	}
	for _, service := range table.Services {
		all = append(all, process{string(service.Name), service.Address, service.Name, service.Service, service.Leaving})
	}
	return all
}

// serverProcess identifies the process of a back end by the newest route tables; isStaying is
// false if it had announced that it leaves.
func (g *Gateway) serverProcess(target fleet.Backend) (serverID string, isStaying bool) {
	tables, _ := g.options.Views.RouteTables.Get()
	for _, running := range processes(tables[target.Zone]) {
		if running.name == target.Name {
			return running.serverID, !running.isLeaving
		}
	}
	return string(target.Name), !target.Leaving
}

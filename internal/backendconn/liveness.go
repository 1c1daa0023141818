package backendconn

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// Liveness is the state of a server whose connection broke.
type Liveness string

const (
	// LivenessEnded means that the server has ended: nothing listens at the address.
	LivenessEnded Liveness = "ended"
	// LivenessAlive means that something listens at the address.
	LivenessAlive Liveness = "alive"
	// LivenessUnknown means that the address does not respond.
	LivenessUnknown Liveness = "unknown"
)

// probeTimeout limits a probe. A server that has ended refuses connections within one round trip,
// and takes a second or more to start again.
const probeTimeout = 100 * time.Millisecond

// Probe opens a connection to the address and closes it, to distinguish a server that has ended
// from a reset connection or a network partition. Concurrent callers share a probe.
func (p *Pool) Probe(address string) Liveness {
	// The function never returns an error, and its result is always a Liveness.
	result, _, _ := p.probes.Do(address, func() (any, error) { return p.probe(address), nil })
	return result.(Liveness)
}

func (p *Pool) probe(address string) Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close()
		return LivenessAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return LivenessEnded
	default:
		return LivenessUnknown
	}
}

package backendconn

import (
	"context"
	"errors"
	"net"
	"os"
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
	conn, liveness := p.open(address)
	if conn != nil {
		_ = conn.Close()
	}
	return liveness
}

// open opens a connection for a probe; it is nil unless the server is alive.
func (p *Pool) open(address string) (net.Conn, Liveness) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, address)
	switch {
	case err == nil:
		return conn, LivenessAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, LivenessEnded
	default:
		return nil, LivenessUnknown
	}
}

// closeTime is the time within which the kernel closes all sockets of a process that has ended, on a busy
// machine too.
const closeTime = 20 * time.Millisecond

// ProbeAfterClose probes a server that has just closed a connection. The sockets of a process that has ended
// are closed one after another, the listening one maybe last: a connection that comes up meanwhile is reset
// within closeTime.
func (p *Pool) ProbeAfterClose(address string) Liveness {
	conn, liveness := p.open(address)
	if conn == nil {
		return liveness
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(closeTime))
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return LivenessAlive
	}
	// A server that has too many connections resets new ones as well.
	return p.probe(address)
}

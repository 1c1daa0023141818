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
	conn, liveness := p.open(address, probeTimeout)
	if conn != nil {
		_ = conn.Close()
	}
	return liveness
}

// open opens a connection for a probe; it is nil unless the server is alive. A connection that comes up as
// the listening socket is being closed is reset: the next one tells.
func (p *Pool) open(address string, timeout time.Duration) (net.Conn, Liveness) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := p.options.Dial(ctx, address)
	if errors.Is(err, syscall.ECONNRESET) {
		conn, err = p.options.Dial(ctx, address)
	}
	switch {
	case err == nil:
		return conn, LivenessAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, LivenessEnded
	default:
		return nil, LivenessUnknown
	}
}

const (
	// closeTime is the time within which the kernel closes all sockets of a process that has ended, on a
	// busy machine too.
	closeTime = 20 * time.Millisecond
	// AnswerProbeWait is how long an answer that is no stream waits to hear whether its server has ended.
	AnswerProbeWait = 100 * time.Millisecond
	// LateProbeWait bounds the time in which a server that seemed alive may turn out to have ended.
	LateProbeWait = time.Second
	// patientProbeTimeout limits a probe whose first packet may be lost once.
	patientProbeTimeout = 1200 * time.Millisecond
)

// ProbeAfterClose probes a server that has just closed a connection. The sockets of a process that has ended
// are closed one after another, the listening one maybe last: a connection that comes up meanwhile is reset
// within closeTime. A server has one such probe at a time; those who ask meanwhile share the next one, which
// begins after they asked. If ctx ends before there is an answer, the liveness is unknown.
func (p *Pool) ProbeAfterClose(ctx context.Context, address string) Liveness {
	probe := p.queueProbe(address)
	select {
	case <-probe.done:
		return probe.liveness
	case <-ctx.Done():
		return LivenessUnknown
	}
}

// closeProbe is a probe of ProbeAfterClose. liveness is set once done is closed.
type closeProbe struct {
	done     chan struct{}
	liveness Liveness
}

// closeProbes are the probes of one address. queued is nil unless somebody waits for the one after that
// which is under way.
type closeProbes struct{ queued *closeProbe }

// queueProbe returns the next probe of the address that has not begun.
func (p *Pool) queueProbe(address string) *closeProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	probes, isRunning := p.closeProbes[address]
	if !isRunning {
		probes = &closeProbes{}
		p.closeProbes[address] = probes
	}
	if probes.queued == nil {
		probes.queued = &closeProbe{done: make(chan struct{})}
	}
	queued := probes.queued
	if !isRunning {
		go p.runProbes(address, probes)
	}
	return queued
}

// runProbes carries out the probes of an address until nobody waits for one.
func (p *Pool) runProbes(address string, probes *closeProbes) {
	for {
		p.mu.Lock()
		probe := probes.queued
		probes.queued = nil
		if probe == nil {
			delete(p.closeProbes, address)
		}
		p.mu.Unlock()
		if probe == nil {
			return
		}
		probe.liveness = p.probeAfterClose(address)
		close(probe.done)
	}
}

func (p *Pool) probeAfterClose(address string) Liveness {
	conn, liveness := p.open(address, patientProbeTimeout)
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

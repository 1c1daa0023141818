package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	// dialTimeout is the time after which establishing a connection fails.
	dialTimeout = time.Second
	// cutDetection is the time that a reader takes to detect a cut connection.
	cutDetection = 3 * time.Second
)

// link is one connection of an attempt to its engine.
type link struct {
	request *request
	number  int
	boot    uint64
	engine  *engineProcess
	// reached is set once the engine has received the request, neverSent once
	// it is certain that it never will.
	reached, neverSent bool
	// readerClosed is set once the node no longer reads, engineDone once the
	// engine no longer writes.
	readerClosed, engineDone bool
	stream                   *sim.Stream
	calls                    []engine.CallID
}

// connect replaces the link. It closes the previous one only after sending the
// request on the new one, because an engine cancels a request without a reader.
func (r *request) connect(number int, kind string, message func(engine.CallID) engine.Message) {
	network, process := r.part.node.world.network, r.part.node.process
	previous := r.link
	opened := &link{request: r, number: number, boot: process.Boot(), engine: r.engine}
	r.link = opened
	if network.IsCut(process, r.engine.process) {
		opened.neverSent = true
		r.part.node.world.scheduler.After(dialTimeout, func() { opened.refused() })
		previous.close()
		return
	}
	network.Send(sim.Message{
		From: process, To: r.engine.process, Transport: sim.Resent, Kind: kind, Size: uint64(number),
		Deliver: func() {
			if !opened.neverSent {
				opened.engine.serve(opened, message)
			}
		},
		Refused: func() {
			if !opened.reached {
				opened.neverSent = true
				opened.refused()
			}
		},
	})
	previous.close()
}

// refused reports that no connection was established, so that the request cannot
// have run.
func (l *link) refused() {
	l.engineDone = true
	l.request.part.node.process.Do(l.boot, func() {
		l.read(attempt.Failure{Connection: l.number, Evidence: attempt.NeverSent, Detail: "no connection"})
	})
}

// read passes a message to the core unless the node has closed the link.
func (l *link) read(message attempt.Message) {
	if !l.readerClosed {
		l.request.step(message)
	}
}

// close closes the link and notifies the engine unless the engine is done.
func (l *link) close() {
	if l == nil || l.readerClosed {
		return
	}
	l.readerClosed = true
	if l.stream != nil {
		l.stream.Abandon()
	}
	if l.engineDone {
		return
	}
	l.request.part.node.world.network.Send(sim.Message{
		From: l.request.part.node.process, To: l.engine.process, Transport: sim.Connection, Kind: "engine/hang-up",
		Deliver: func() { l.engine.readerClosed(l) },
	})
}

func (r *request) close() {
	r.link.close()
	r.link = nil
}

// cancel tells an engine that the answer of the attempt is no longer needed.
func (r *request) cancel(cancel attempt.Cancel) {
	target := r.part.node.world.engineAt(string(cancel.Backend))
	id := r.call.id
	r.part.node.world.network.Send(sim.Message{
		From: r.part.node.process, To: target.process, Transport: sim.Resent, Kind: "engine/cancel",
		Deliver: func() {
			target.call(func(call engine.CallID) engine.Message {
				return engine.Cancel{Call: call, Request: id, Attempt: cancel.Attempt}
			}, func(any) {})
		},
	})
}

// chunk sends a chunk from the engine to the node. The following methods are
// also called on the engine's side of the link.
func (l *link) chunk(chunk backend.Chunk) {
	l.stream.Send("chunk", uint64(chunk.Sequence), func() {
		l.read(&attempt.Chunk{Connection: l.number, RequestID: chunk.RequestID, Attempt: chunk.Attempt,
			Sequence: chunk.Sequence, Text: chunk.Text, FinishReason: chunk.Finish})
	})
}

func (l *link) ended(terminated bool) {
	l.stream.Close(func() {
		l.engineDone = true
		l.read(attempt.Ended{Connection: l.number, Terminated: terminated})
	})
}

func (l *link) broken() {
	l.engineDone = true
	l.read(attempt.Failure{Connection: l.number, Evidence: attempt.MaybeSent, Detail: "the connection broke"})
}

// reportEngineLeaving reports to control that the engine is leaving, as the
// gateway does when an engine refuses a request for that reason.
func (l *link) reportEngineLeaving() {
	leaving := control.LeavingNoticeReceived{Backends: []fleet.BackendName{l.engine.backend.Name}}
	l.request.part.node.control.step(leaving)
}

func (l *link) refusal(reason engine.RefusalReason) {
	l.stream.Close(func() {
		l.engineDone = true
		evidence := attempt.ErrorStatus
		if reason == engine.RefusedLeaving {
			l.reportEngineLeaving()
		}
		switch reason {
		case engine.RefusedNotReady, engine.RefusedLeaving, engine.RefusedOverfull:
			evidence = attempt.RefusedBeforeRun
		}
		l.read(attempt.Failure{Connection: l.number, Evidence: evidence, Detail: string(reason)})
	})
}

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
	// dialTimeout is when a connection is given up that is not made.
	dialTimeout = time.Second
	// cutDetection is how long a reader takes to notice that a connection
	// was cut.
	cutDetection = 3 * time.Second
)

// link is one connection of an attempt to its engine.
type link struct {
	request *request
	number  int
	boot    uint64
	engine  *engineProcess
	// reached is set once the engine has got the request, void once it is
	// proved that it never will.
	reached, void bool
	// closed is set once the node reads no more, over once the engine writes
	// no more.
	closed, over bool
	stream       *sim.Stream
	calls        []engine.CallID
}

// connect replaces the link. The former is closed only when the engine has got
// the new one: to an engine, a reader that leaves is a cancel.
func (r *request) connect(number int, kind string, message func(engine.CallID) engine.Message) {
	network, process := r.part.node.world.network, r.part.node.process
	former := r.link
	opened := &link{request: r, number: number, boot: process.Boot(), engine: r.engine}
	r.link = opened
	if network.IsCut(process, r.engine.process) {
		opened.void = true
		r.part.node.world.scheduler.After(dialTimeout, func() { opened.refused() })
		former.close()
		return
	}
	network.Send(sim.Message{
		From: process, To: r.engine.process, Transport: sim.Resent, Kind: kind, Size: uint64(number),
		Deliver: func() {
			if !opened.void {
				opened.engine.serve(opened, message)
			}
		},
		Refused: func() {
			if !opened.reached {
				opened.void = true
				opened.refused()
			}
		},
	})
	former.close()
}

// refused tells that no connection was made, so that nothing can have run.
func (l *link) refused() {
	l.over = true
	l.request.part.node.process.Do(l.boot, func() {
		l.read(attempt.Failure{Connection: l.number, Evidence: attempt.NeverSent, Detail: "no connection"})
	})
}

// read hands the core what came, unless the node reads the link no more.
func (l *link) read(message attempt.Message) {
	if !l.closed {
		l.request.step(message)
	}
}

// close hangs up; the engine hears of it unless it is done.
func (l *link) close() {
	if l == nil || l.closed {
		return
	}
	l.closed = true
	if l.stream != nil {
		l.stream.Abandon()
	}
	if l.over {
		return
	}
	l.request.part.node.world.network.Send(sim.Message{
		From: l.request.part.node.process, To: l.engine.process, Transport: sim.Connection, Kind: "engine/hang-up",
		Deliver: func() { l.engine.hangUp(l) },
	})
}

func (r *request) close() {
	r.link.close()
	r.link = nil
}

// cancel tells an engine that nobody waits for the attempt's answer.
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

// chunk and the following are what the engine's end of the link sends.
func (l *link) chunk(chunk backend.Chunk) {
	l.stream.Send("chunk", uint64(chunk.Sequence), func() {
		l.read(&attempt.Chunk{Connection: l.number, RequestID: chunk.RequestID, Attempt: chunk.Attempt,
			Sequence: chunk.Sequence, Text: chunk.Text, FinishReason: chunk.Finish})
	})
}

func (l *link) ended(terminated bool) {
	l.stream.Close(func() {
		l.over = true
		l.read(attempt.Ended{Connection: l.number, Terminated: terminated})
	})
}

func (l *link) broken() {
	l.over = true
	l.read(attempt.Failure{Connection: l.number, Evidence: attempt.MaybeSent, Detail: "the connection broke"})
}

// spreadLeaving does as the gateway does: the refusal is a sign of the leaving.
func (l *link) spreadLeaving() {
	leaving := control.LeavingNoticeReceived{Backends: []fleet.BackendName{l.engine.backend.Name}}
	l.request.part.node.control.step(leaving)
}

func (l *link) refusal(reason engine.RefusalReason) {
	l.stream.Close(func() {
		l.over = true
		evidence := attempt.ErrorStatus
		if reason == engine.RefusedLeaving {
			l.spreadLeaving()
		}
		switch reason {
		case engine.RefusedNotReady, engine.RefusedLeaving, engine.RefusedOverfull:
			evidence = attempt.RefusedBeforeRun
		}
		l.read(attempt.Failure{Connection: l.number, Evidence: evidence, Detail: string(reason)})
	})
}

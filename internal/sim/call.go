package sim

import "time"

// CallOutcome is the result of a call as the caller sees it.
type CallOutcome int

// The outcomes of a call.
const (
	// Answered means that the answer arrived.
	Answered CallOutcome = iota + 1
	// Refused means that no process was listening: the request was not
	// processed.
	Refused
	// TimedOut means that no answer arrived within the timeout; the request
	// may still have been processed.
	TimedOut
)

// Call is a request and its answer between two processes, as over HTTP. The
// request, the answer or both may be lost.
type Call struct {
	From, To *Process
	Kind     string
	Size     uint64
	Timeout  time.Duration
	// Resent allows the network to deliver the request twice.
	Resent bool
	// Serve runs at the receiver and answers, immediately or later, by calling
	// reply. A reply after the receiver died or restarted is dropped.
	Serve func(reply func(answer any))
	// Done runs once at the caller. The answer is nil unless the outcome is
	// Answered.
	Done func(answer any, outcome CallOutcome)
}

// Call sends the request and arranges for call.Done to run.
func (n *Network) Call(call Call) {
	caller := call.From.boot
	settled := false
	settle := func(answer any, outcome CallOutcome) {
		if settled {
			return
		}
		settled = true
		call.From.Do(caller, func() { call.Done(answer, outcome) })
	}
	n.scheduler.After(call.Timeout, func() { settle(nil, TimedOut) })
	n.Send(Message{
		From: call.From, To: call.To, Transport: call.transport(), Kind: call.Kind, Size: call.Size,
		Deliver: func() { n.serve(call, settle) },
		Refused: func() { settle(nil, Refused) },
	})
}

func (c Call) transport() Transport {
	if c.Resent {
		return Resent
	}
	return Connection
}

func (n *Network) serve(call Call, settle func(any, CallOutcome)) {
	boot := call.To.boot
	call.Serve(func(answer any) {
		if call.To.boot != boot || call.To.state == ProcessDead {
			return
		}
		n.Send(Message{
			From: call.To, To: call.From, Transport: Connection, Kind: call.Kind + "/answer",
			Deliver: func() { settle(answer, Answered) },
		})
	})
}

package sim

import "time"

// CallOutcome is what a caller learns of its call.
type CallOutcome int

// The outcomes of a call.
const (
	// Answered means that the answer came.
	Answered CallOutcome = iota + 1
	// Refused means that no process listened: the request was not taken.
	Refused
	// TimedOut means that nothing came in time: the request may have been
	// taken all the same.
	TimedOut
)

// Call is a request with an answer between two processes, as over HTTP: the
// request, its answer or both may be lost.
type Call struct {
	From, To *Process
	Kind     string
	Size     uint64
	Timeout  time.Duration
	// Resent allows the network to carry the request twice.
	Resent bool
	// Serve runs at the receiver; it answers, now or later, by calling reply.
	// A reply after the receiver's death is lost.
	Serve func(reply func(answer any))
	// Done runs at the caller, once. The answer is nil but for Answered.
	Done func(answer any, outcome CallOutcome)
}

// Call sends the request.
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

package sim

import "time"

// retransmitDelay is the additional delay of a stream message that was lost
// once and that the connection retransmits.
const retransmitDelay = 200 * time.Millisecond

// Stream is one direction of a connection that carries several messages. They
// arrive in order or not at all: the first message dropped by a cut breaks the
// stream permanently.
type Stream struct {
	network        *Network
	from, to       *Process
	fromBoot       uint64
	toBoot         uint64
	lastArrival    time.Duration
	closed         bool
	onBroken       func()
	detectionDelay time.Duration
}

// StreamOptions describes a stream.
type StreamOptions struct {
	From, To *Process
	// ToBoot is the boot of the receiver that requested the stream; nothing is
	// delivered to a later boot.
	ToBoot uint64
	// Detection is the time that the receiver takes to detect a cut.
	Detection time.Duration
	// Broken is called once at the receiver if the stream ends without Close.
	Broken func()
}

// OpenStream opens a stream between two running processes.
func (n *Network) OpenStream(options StreamOptions) *Stream {
	stream := &Stream{
		network:        n,
		from:           options.From,
		to:             options.To,
		fromBoot:       options.From.boot,
		toBoot:         options.ToBoot,
		onBroken:       options.Broken,
		detectionDelay: options.Detection,
	}
	options.From.OnDeath(func() { stream.fail(0) })
	return stream
}

// Send sends the next message; deliver runs at the receiver.
func (s *Stream) Send(kind string, size uint64, deliver func()) {
	s.send(kind, size, func() {
		if !s.closed {
			deliver()
		}
	})
}

// Close ends the stream after all messages sent so far; deliver runs at the
// receiver.
func (s *Stream) Close(deliver func()) {
	s.send("stream-end", 0, func() {
		if !s.closed {
			s.closed = true
			deliver()
		}
	})
}

// Abandon closes the stream and drops the messages in flight without notifying
// either side.
func (s *Stream) Abandon() {
	s.closed = true
}

// Open reports whether the stream has neither ended nor broken.
func (s *Stream) Open() bool {
	return !s.closed && s.from.boot == s.fromBoot && s.to.boot == s.toBoot && s.to.state != ProcessDead
}

func (s *Stream) send(kind string, size uint64, deliver func()) {
	if !s.Open() {
		return
	}
	network := s.network
	options := network.options(s.from, s.to)
	random := network.link(s.from, s.to).stream
	delay := network.delay(options, random)
	if Chance(random, options.Loss+network.disturbance.Loss) {
		network.counts.Lost++
		delay += retransmitDelay
	}
	s.lastArrival = max(s.lastArrival, network.scheduler.Elapsed()+delay)
	network.scheduler.At(s.lastArrival, func() { s.arrive(kind, size, deliver) })
}

func (s *Stream) arrive(kind string, size uint64, deliver func()) {
	if !s.Open() {
		return
	}
	if s.network.IsCut(s.from, s.to) {
		s.network.counts.Cut++
		s.network.trace.Record("cut-off", s.to.name, s.from.name, size)
		s.fail(s.detectionDelay)
		return
	}
	s.network.counts.Delivered++
	s.network.trace.Record(kind, s.to.name, s.from.name, size)
	s.to.Do(s.toBoot, deliver)
}

// fail breaks the stream. The receiver is notified after the given time plus
// the delay of the link.
func (s *Stream) fail(after time.Duration) {
	if s.closed {
		return
	}
	s.closed = true
	delay := after + s.network.delay(s.network.options(s.from, s.to), s.network.link(s.from, s.to).stream)
	s.network.scheduler.After(delay, func() {
		if s.to.boot == s.toBoot {
			s.to.Do(s.toBoot, s.onBroken)
		}
	})
}

// Break resets the stream at its sender.
func (s *Stream) Break() {
	s.fail(0)
}

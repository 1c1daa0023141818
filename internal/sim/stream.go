package sim

import "time"

// retransmission is how much later a message of a stream comes that was lost
// once: a connection sends it again.
const retransmission = 200 * time.Millisecond

// Stream is one direction of a connection that carries several messages. They
// come in their order or not at all: the first that a cut stops breaks the
// stream for good.
type Stream struct {
	network   *Network
	from, to  *Process
	fromBoot  uint64
	toBoot    uint64
	latest    time.Duration
	closed    bool
	onBroken  func()
	detection time.Duration
}

// StreamOptions describe a stream.
type StreamOptions struct {
	From, To *Process
	// ToBoot is the boot of the receiver that asked for the stream; another
	// boot gets nothing of it.
	ToBoot uint64
	// Detection is how long the receiver takes to notice a cut.
	Detection time.Duration
	// Broken is called at the receiver, once, where the stream ends without
	// Close.
	Broken func()
}

// OpenStream opens a stream between two running processes.
func (n *Network) OpenStream(options StreamOptions) *Stream {
	stream := &Stream{
		network:   n,
		from:      options.From,
		to:        options.To,
		fromBoot:  options.From.boot,
		toBoot:    options.ToBoot,
		onBroken:  options.Broken,
		detection: options.Detection,
	}
	options.From.OnDeath(func() { stream.fail(0) })
	return stream
}

// Send hands over the next message.
func (s *Stream) Send(kind string, size uint64, deliver func()) {
	s.send(kind, size, func() {
		if !s.closed {
			deliver()
		}
	})
}

// Close ends the stream after what was sent; deliver runs at the receiver.
func (s *Stream) Close(deliver func()) {
	s.send("stream-end", 0, func() {
		if !s.closed {
			s.closed = true
			deliver()
		}
	})
}

// Abandon drops what is still under way and tells nobody.
func (s *Stream) Abandon() {
	s.closed = true
}

// Open reports whether the stream neither ended nor broke.
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
	if Chance(random, options.Loss+network.disturbed.Loss) {
		network.counts.Lost++
		delay += retransmission
	}
	s.latest = max(s.latest, network.scheduler.Elapsed()+delay)
	network.scheduler.At(s.latest, func() { s.arrive(kind, size, deliver) })
}

func (s *Stream) arrive(kind string, size uint64, deliver func()) {
	if !s.Open() {
		return
	}
	if s.network.IsCut(s.from, s.to) {
		s.network.counts.Cut++
		s.network.trace.Record("cut-off", s.to.name, s.from.name, size)
		s.fail(s.detection)
		return
	}
	s.network.counts.Delivered++
	s.network.trace.Record(kind, s.to.name, s.from.name, size)
	s.to.Do(s.toBoot, deliver)
}

// fail breaks the stream; the receiver notices after the delay.
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

// Break ends the stream at its sender, as a reset does.
func (s *Stream) Break() {
	s.fail(0)
}

package sim

import (
	"math/rand/v2"
	"time"
)

// LinkOptions are the properties of one direction between two processes.
type LinkOptions struct {
	// Least and Most bound the delay. It is drawn for each message, so
	// messages may be reordered.
	Least, Most time.Duration
	// Loss and Duplicate are probabilities per message.
	Loss, Duplicate float64
	// Late is the probability of an additional delay of up to LateMost.
	Late     float64
	LateMost time.Duration
}

// Transport determines which delivery faults a message is subject to.
type Transport int

// The transports.
const (
	// Datagram may be lost, duplicated and reordered.
	Datagram Transport = iota
	// Connection is one message on a connection: it is never duplicated, and
	// its sender notices a loss only by the missing answer.
	Connection
	// Resent is a message on a connection that an HTTP library or a caller may
	// silently retry: it may be duplicated, and the copy may be late.
	Resent
)

// Network carries messages between processes.
type Network struct {
	scheduler       *Scheduler
	trace           *Trace
	streams         *Streams
	sameZone        LinkOptions
	crossZone       LinkOptions
	links           map[linkKey]*link
	cuts            map[linkKey]int
	zoneCuts        map[linkKey]int
	disturbance     Disturbance
	maxInboundDelay map[string]time.Duration

	counts NetworkCounts
}

// NetworkCounts counts messages by what happened to them.
type NetworkCounts struct {
	Delivered, Lost, Doubled, Cut uint64
}

type linkKey struct{ from, to string }

type link struct {
	stream *rand.Rand
}

// Disturbance degrades all links while it is in effect.
type Disturbance struct {
	Loss, Duplicate float64
	ExtraDelay      time.Duration
	// Late is the probability of an additional delay of up to LateMost, which
	// is meant to exceed the timeouts of callers.
	Late     float64
	LateMost time.Duration
}

// NewNetwork returns a network with the given link options within a zone and
// between zones.
func NewNetwork(scheduler *Scheduler, trace *Trace, streams *Streams, sameZone, crossZone LinkOptions) *Network {
	return &Network{
		scheduler:       scheduler,
		trace:           trace,
		streams:         streams,
		sameZone:        sameZone,
		crossZone:       crossZone,
		links:           make(map[linkKey]*link),
		cuts:            make(map[linkKey]int),
		zoneCuts:        make(map[linkKey]int),
		maxInboundDelay: make(map[string]time.Duration),
	}
}

// Message is one message between two processes.
type Message struct {
	From, To  *Process
	Transport Transport
	// Kind and Size are recorded in the event history.
	Kind string
	Size uint64
	// Deliver runs at the receiver.
	Deliver func()
	// Refused, if not nil, is called if the receiver is not running when the
	// message arrives, like a connection to a closed port.
	Refused func()
}

// Send delivers a message after the delay of its link, unless it is lost or the
// link is cut when it is sent or when it would arrive.
func (n *Network) Send(message Message) {
	options := n.options(message.From, message.To)
	stream := n.link(message.From, message.To).stream
	delay := n.delay(options, stream)
	if most := n.maxInboundDelay[message.To.name]; most > 0 {
		delay += Between(stream, 0, most)
	}
	lostByChance := Chance(stream, options.Loss+n.disturbance.Loss)
	twice := Chance(stream, options.Duplicate+n.disturbance.Duplicate)
	if n.IsCut(message.From, message.To) {
		n.counts.Cut++
		n.trace.Record("cut-off", message.To.name, message.From.name, message.Size)
		return
	}
	if lostByChance {
		n.counts.Lost++
		n.trace.Record("lost", message.To.name, message.From.name, message.Size)
		return
	}
	n.deliverAfter(delay, message)
	if twice && message.Transport != Connection {
		n.counts.Doubled++
		n.deliverAfter(delay+n.delay(options, stream), message)
	}
}

func (n *Network) deliverAfter(delay time.Duration, message Message) {
	n.scheduler.After(delay, func() {
		if n.IsCut(message.From, message.To) {
			n.counts.Cut++
			n.trace.Record("cut-off", message.To.name, message.From.name, message.Size)
			return
		}
		if message.To.state == ProcessDead {
			if message.Refused != nil {
				message.Refused()
			}
			return
		}
		n.counts.Delivered++
		n.trace.Record(message.Kind, message.To.name, message.From.name, message.Size)
		message.To.Do(message.To.boot, message.Deliver)
	})
}

func (n *Network) delay(options LinkOptions, stream *rand.Rand) time.Duration {
	delay := Between(stream, options.Least, options.Most)
	if Chance(stream, options.Late) {
		delay += Between(stream, 0, options.LateMost)
	}
	if n.disturbance.ExtraDelay > 0 {
		delay += Between(stream, 0, n.disturbance.ExtraDelay)
	}
	if Chance(stream, n.disturbance.Late) {
		delay += Between(stream, 0, n.disturbance.LateMost)
	}
	return delay
}

func (n *Network) options(from, to *Process) LinkOptions {
	if from.zone == to.zone {
		return n.sameZone
	}
	return n.crossZone
}

func (n *Network) link(from, to *Process) *link {
	key := linkKey{from.name, to.name}
	if known, found := n.links[key]; found {
		return known
	}
	created := &link{stream: n.streams.Stream("network/" + from.name + ">" + to.name)}
	n.links[key] = created
	return created
}

// Cut drops messages in one direction between two processes. Cuts are counted:
// each needs its own Heal.
func (n *Network) Cut(from, to string) { n.cuts[linkKey{from, to}]++ }

// Heal undoes one Cut.
func (n *Network) Heal(from, to string) { removeCut(n.cuts, linkKey{from, to}) }

// CutZones drops messages in one direction between two zones. Cuts are counted:
// each needs its own HealZones.
func (n *Network) CutZones(from, to string) { n.zoneCuts[linkKey{from, to}]++ }

// HealZones undoes one CutZones.
func (n *Network) HealZones(from, to string) { removeCut(n.zoneCuts, linkKey{from, to}) }

func removeCut(cuts map[linkKey]int, key linkKey) {
	cuts[key]--
	if cuts[key] <= 0 {
		delete(cuts, key)
	}
}

// IsCut reports whether messages from one process to the other are dropped.
func (n *Network) IsCut(from, to *Process) bool {
	if len(n.cuts) > 0 && n.cuts[linkKey{from.name, to.name}] > 0 {
		return true
	}
	return len(n.zoneCuts) > 0 && n.zoneCuts[linkKey{from.zone, to.zone}] > 0
}

// SlowTo adds a random delay of up to most to each message to a process; 0
// removes it.
func (n *Network) SlowTo(name string, most time.Duration) { n.maxInboundDelay[name] = most }

// Disturb replaces the current disturbance of all links.
func (n *Network) Disturb(disturbance Disturbance) { n.disturbance = disturbance }

// Disturbed returns the current disturbance.
func (n *Network) Disturbed() Disturbance { return n.disturbance }

// Counts returns the message counts so far.
func (n *Network) Counts() NetworkCounts { return n.counts }

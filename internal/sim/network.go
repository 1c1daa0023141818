package sim

import (
	"math/rand/v2"
	"time"
)

// LinkOptions are the properties of a one-way way between two processes.
type LinkOptions struct {
	// Least and Most bound the delay; each message draws its own, so messages
	// overtake each other.
	Least, Most time.Duration
	// Loss and Duplicate are probabilities.
	Loss, Duplicate float64
	// Late is the probability of a delay of up to LateMost.
	Late     float64
	LateMost time.Duration
}

// Transport tells how a message travels.
type Transport int

// The transports.
const (
	// Datagram may be lost, doubled and reordered.
	Datagram Transport = iota
	// Connection is one message of a connection: it is not doubled, and a loss
	// shows to its sender only as silence.
	Connection
	// Resent is a message of a connection that an HTTP library or a caller may
	// send again without a word: it may be doubled, and late.
	Resent
)

// Network carries messages between processes.
type Network struct {
	scheduler *Scheduler
	trace     *Trace
	streams   *Streams
	sameZone  LinkOptions
	crossZone LinkOptions
	links     map[linkKey]*link
	cuts      map[linkKey]int
	zoneCuts  map[linkKey]int
	disturbed Disturbance
	slowTo    map[string]time.Duration

	counts NetworkCounts
}

// NetworkCounts tell what became of the messages.
type NetworkCounts struct {
	Delivered, Lost, Doubled, Cut uint64
}

type linkKey struct{ from, to string }

type link struct {
	stream *rand.Rand
}

// Disturbance worsens all links for a while.
type Disturbance struct {
	Loss, Duplicate float64
	ExtraDelay      time.Duration
	// Late is the probability of a delay of up to LateMost, far beyond what
	// callers wait for.
	Late     float64
	LateMost time.Duration
}

// NewNetwork returns a network with the given links within and between zones.
func NewNetwork(scheduler *Scheduler, trace *Trace, streams *Streams, sameZone, crossZone LinkOptions) *Network {
	return &Network{
		scheduler: scheduler,
		trace:     trace,
		streams:   streams,
		sameZone:  sameZone,
		crossZone: crossZone,
		links:     make(map[linkKey]*link),
		cuts:      make(map[linkKey]int),
		zoneCuts:  make(map[linkKey]int),
		slowTo:    make(map[string]time.Duration),
	}
}

// Message is one message between two processes.
type Message struct {
	From, To  *Process
	Transport Transport
	// Kind and Size go into the event history.
	Kind string
	Size uint64
	// Deliver runs at the receiver.
	Deliver func()
	// Refused, if set, is called where the receiver does not run when the
	// message arrives; it stands for a closed port.
	Refused func()
}

// Send carries a message, unless it is lost.
func (n *Network) Send(message Message) {
	options := n.options(message.From, message.To)
	stream := n.link(message.From, message.To).stream
	delay := n.delay(options, stream)
	if most := n.slowTo[message.To.name]; most > 0 {
		delay += Between(stream, 0, most)
	}
	lostByChance := Chance(stream, options.Loss+n.disturbed.Loss)
	twice := Chance(stream, options.Duplicate+n.disturbed.Duplicate)
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
	if n.disturbed.ExtraDelay > 0 {
		delay += Between(stream, 0, n.disturbed.ExtraDelay)
	}
	if Chance(stream, n.disturbed.Late) {
		delay += Between(stream, 0, n.disturbed.LateMost)
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

// Cut stops messages one way between two processes; cuts add up, and each
// needs its own Heal.
func (n *Network) Cut(from, to string) { n.cuts[linkKey{from, to}]++ }

// Heal takes back one Cut.
func (n *Network) Heal(from, to string) { release(n.cuts, linkKey{from, to}) }

// CutZones stops messages one way between two zones.
func (n *Network) CutZones(from, to string) { n.zoneCuts[linkKey{from, to}]++ }

// HealZones takes back one CutZones.
func (n *Network) HealZones(from, to string) { release(n.zoneCuts, linkKey{from, to}) }

func release(cuts map[linkKey]int, key linkKey) {
	cuts[key]--
	if cuts[key] <= 0 {
		delete(cuts, key)
	}
}

// IsCut reports whether messages from one process to the other are stopped.
func (n *Network) IsCut(from, to *Process) bool {
	if len(n.cuts) > 0 && n.cuts[linkKey{from.name, to.name}] > 0 {
		return true
	}
	return len(n.zoneCuts) > 0 && n.zoneCuts[linkKey{from.zone, to.zone}] > 0
}

// SlowTo delays each message to a process by up to the time; 0 ends it.
func (n *Network) SlowTo(name string, most time.Duration) { n.slowTo[name] = most }

// Disturb replaces the present disturbance of all links.
func (n *Network) Disturb(disturbance Disturbance) { n.disturbed = disturbance }

// Disturbed is the present disturbance.
func (n *Network) Disturbed() Disturbance { return n.disturbed }

// Counts tells what became of the messages so far.
func (n *Network) Counts() NetworkCounts { return n.counts }

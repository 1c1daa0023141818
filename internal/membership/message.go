package membership

// Message is an input of a Core.
type Message interface{ message() }

// Tick reports that NextWake has been reached.
type Tick struct{}

// Receive is a packet received from another node.
type Receive struct {
	// From is the sender's UDP address, to which answers are sent.
	From   string
	Packet []byte
}

// NodesListed contains the nodes of the platform's machine list. A listed node serves as a seed;
// one that is leaving or gone is suspected, and is declared dead only if it does not refute.
type NodesListed struct {
	Nodes []ListedNode
}

// ListedNode is one node of the machine list.
type ListedNode struct {
	Name string
	// GossipAddress is the address for membership packets.
	GossipAddress string
	// Leaving is set if the machine is leaving or gone according to the list.
	Leaving bool
}

// SetDraining announces whether this node accepts new work.
type SetDraining struct{ Draining bool }

// SetConfigVersion announces the store revision in force on this node.
type SetConfigVersion struct{ Version uint64 }

// Leave announces that this node is shutting down.
type Leave struct{}

func (Tick) message()             {}
func (Receive) message()          {}
func (NodesListed) message()      {}
func (SetDraining) message()      {}
func (SetConfigVersion) message() {}
func (Leave) message()            {}

// Effect is an output of a Core.
type Effect interface{ effect() }

// Send is a packet to send by UDP.
type Send struct {
	To     string
	Packet []byte
}

// Changed reports that the result of Members changed.
type Changed struct{}

func (Send) effect()    {}
func (Changed) effect() {}

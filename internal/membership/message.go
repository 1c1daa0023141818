package membership

// Message is what a Core takes.
type Message interface{ message() }

// Tick says that NextWake has come.
type Tick struct{}

// Receive is a packet that came from another node.
type Receive struct {
	// From is the sender's UDP address; answers go there.
	From   string
	Packet []byte
}

// NodesListed are nodes of the platform's machine list. A listed node is a seed; one
// that is leaving or gone is suspected, and dies only if it does not refute.
type NodesListed struct {
	Nodes []ListedNode
}

// ListedNode is one node of the machine list.
type ListedNode struct {
	Name string
	// GossipAddress is the node's gossip address.
	GossipAddress string
	// Leaving is set where the list says that the machine leaves or is gone.
	Leaving bool
}

// SetDraining tells the others whether this node takes new work.
type SetDraining struct{ Draining bool }

// SetConfigVersion tells the others the store revision in force here.
type SetConfigVersion struct{ Version uint64 }

// Leave tells the others that this node goes away.
type Leave struct{}

func (Tick) message()             {}
func (Receive) message()          {}
func (NodesListed) message()      {}
func (SetDraining) message()      {}
func (SetConfigVersion) message() {}
func (Leave) message()            {}

// Effect is what a Core wants done.
type Effect interface{ effect() }

// Send is a packet to send by UDP.
type Send struct {
	To     string
	Packet []byte
}

// Changed says that Members returns something new.
type Changed struct{}

func (Send) effect()    {}
func (Changed) effect() {}

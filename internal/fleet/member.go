package fleet

// MemberState is a node's state according to the failure detector.
type MemberState string

// The states of a member, in the order in which they override each other within one incarnation.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeft    MemberState = "left"
)

// Addresses are the IP:port pairs at which a node listens.
type Addresses struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	Gossip   string `json:"gossip"`
}

// Member is one node as known to its zone.
type Member struct {
	Name        NodeName    `json:"name"`
	Zone        Zone        `json:"zone"`
	Incarnation uint64      `json:"incarnation"`
	State       MemberState `json:"state"`
	Addresses   Addresses   `json:"addresses"`
	// BootID differs for each start of the process, even under the same name.
	BootID uint64 `json:"bootId"`
	// Draining is set if the node no longer accepts new work.
	Draining bool `json:"draining,omitempty"`
	// ConfigVersion is the store revision in force on the member.
	ConfigVersion uint64 `json:"configVersion"`
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool {
	return m.State == MemberAlive && !m.Draining
}

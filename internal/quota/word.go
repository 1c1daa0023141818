package quota

import "time"

const (
	// closeShare of its burst is what a tenant has left when its requests begin to be
	// asked for one by one, and openShare when that ends. Until all nodes have heard
	// that it is closed, what is left bears what it may send meanwhile.
	closeShare = 0.5
	openShare  = 0.75
	// WordAge is how long a giver's word is believed.
	WordAge = 500 * time.Millisecond
)

// Words are what givers told lately: which tenants are near their quota. All others
// are far below it, and their requests are granted without asking.
type Words struct {
	givers map[string]word
}

type word struct {
	closed map[string]bool
	at     time.Time
}

// NewWords returns those of a node that has heard none.
func NewWords() *Words { return &Words{givers: make(map[string]word)} }

// Hear takes a giver's word.
func (w *Words) Hear(now time.Time, giver string, closed []string) {
	heard := word{closed: make(map[string]bool, len(closed)), at: now}
	for _, tenant := range closed {
		heard.closed[tenant] = true
	}
	w.givers[giver] = heard
}

// IsOpen reports whether the tenant is far below its quota by all words that are fresh,
// of which there is one at the least. Two givers may speak for a moment after a fault.
func (w *Words) IsOpen(now time.Time, tenant string) bool {
	fresh := false
	for giver, heard := range w.givers {
		switch {
		case now.Sub(heard.at) > WordAge:
			delete(w.givers, giver)
		case heard.closed[tenant]:
			return false
		default:
			fresh = true
		}
	}
	return fresh
}

// Closed are the tenants near their quota, by a giver that has kept their accounts.
func (g *Giver) Closed() []string {
	var closed []string
	for tenant, known := range g.accounts {
		if known.closed {
			closed = append(closed, tenant)
		}
	}
	return closed
}

// IsClosed reports whether the tenant is near its quota.
func (g *Giver) IsClosed(tenant string) bool {
	known, ok := g.accounts[tenant]
	return ok && known.closed
}

package inventory

// Start identifies one start of a server. A server may be started again under the same ID; it then
// has none of the models and none of the state from before.
type Start struct {
	ID string
	// StartedAtMs is the Unix time of the start in milliseconds, by the server's own clock; 0 if
	// unknown. Of two starts under one ID the later one counts.
	StartedAtMs int64
}

// IsLaterThan reports whether s is a later start of the same server.
func (s Start) IsLaterThan(other Start) bool {
	return s.ID == other.ID && s.StartedAtMs > other.StartedAtMs
}

// Start returns the start that the entry describes.
func (s Server) Start() Start { return Start{ID: s.ID, StartedAtMs: s.StartedAtMs} }

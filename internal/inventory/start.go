package inventory

// Start names one start of a server. A server may start again under the ID that it had: it
// then holds and knows nothing of before.
type Start struct {
	ID string
	// StartedAtMs is the Unix time of the start in milliseconds, by the server's own clock; 0 where
	// it is not told. Of two starts under one ID the later one counts.
	StartedAtMs int64
}

// IsLaterThan reports whether it is another start of the same server, and the later one.
func (s Start) IsLaterThan(other Start) bool {
	return s.ID == other.ID && s.StartedAtMs > other.StartedAtMs
}

// Start is the start that the entry is of.
func (s Server) Start() Start { return Start{ID: s.ID, StartedAtMs: s.StartedAtMs} }

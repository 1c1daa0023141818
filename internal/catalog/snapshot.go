package catalog

// Snapshot is the catalog at one store revision. It is immutable.
type Snapshot struct {
	version uint64
}

// Version is the store revision that the snapshot shows.
func (s *Snapshot) Version() uint64 {
	return s.version
}

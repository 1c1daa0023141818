package origins

// Merge returns what two records of one stream say together. Records are sent several times and kept at several
// nodes and in the store, so that an earlier one may arrive after a later one: the result does not depend on
// the order.
func Merge(a, b Entry) Entry {
	merged, other := a, b
	if b.supersedes(a) {
		merged, other = b, a
	}
	if other.ExpiresAt.After(merged.ExpiresAt) {
		merged.ExpiresAt = other.ExpiresAt
	}
	return merged
}

// supersedes reports whether the record replaces the other one of the same stream, wherever that came from.
func (e Entry) supersedes(other Entry) bool {
	isSettled, isOtherSettled := e.isSettled(), other.isSettled()
	hasServer, hasOtherServer := e.Server.ID != "", other.Server.ID != ""
	hasVersion, hasOtherVersion := e.Origin.SoftwareVersion != "", other.Origin.SoftwareVersion != ""
	switch {
	case hasServer && hasOtherServer && e.Server != other.Server:
		// The caller used the request ID again: the later stream counts.
		return e.RecordedAt.After(other.RecordedAt)
	case isSettled != isOtherSettled:
		return isSettled
	case isSettled:
		return hasServer && !hasOtherServer
	case hasServer != hasOtherServer:
		// Such a record does not rest on which start of the server answered.
		return hasOtherServer
	default:
		// A version that turned out to be doubtful is not taken back by a record from before.
		return !hasVersion && hasOtherVersion
	}
}

// isSettled reports whether nothing that becomes known later changes the version.
func (e Entry) isSettled() bool { return e.IsCertain && e.Origin.SoftwareVersion != "" }

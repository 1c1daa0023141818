package origins

// lossKind says what is known of streams that no node knows any more.
type lossKind int

const (
	// lossOpen is the kind of a node that cannot tell, and knows of nothing that speaks against what others say.
	lossOpen lossKind = iota + 1
	lossAtOneVersion
)

// LostStreams says at which software versions of a service the streams may have begun that no node knows. The
// zero value is any.
type LostStreams struct {
	kind lossKind
	// version is set for lossAtOneVersion.
	version string
}

// LostAtUnknownVersion is what a node says that cannot tell.
func LostAtUnknownVersion() LostStreams { return LostStreams{kind: lossOpen} }

// LostAtVersion is what a node says that knows of one version alone.
func LostAtVersion(version string) LostStreams {
	return LostStreams{kind: lossAtOneVersion, version: version}
}

// And returns what both say together: two that name different versions, or one that says any, leave any.
func (l LostStreams) And(other LostStreams) LostStreams {
	switch {
	case l.kind == lossOpen:
		return other
	case other.kind == lossOpen || l == other:
		return l
	default:
		return LostStreams{}
	}
}

// Version returns the version at which all lost streams began; ok is false if that is not known.
func (l LostStreams) Version() (version string, ok bool) {
	return l.version, l.kind == lossAtOneVersion
}

// IsUnknown reports whether nothing is known of the lost streams.
func (l LostStreams) IsUnknown() bool { return l.kind == lossOpen }

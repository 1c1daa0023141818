// Package leadership is the core that claims the engines of a zone for the
// zone's leader. It runs rounds: each round gets a new fence, claims the
// engines under it, and establishes which engines' inventories the leader may
// rely on. The argument for its safety is in docs/design/leadership.md.
//
// The core is a deterministic state machine without I/O. The control package
// feeds it messages through Core.Step and handles the effects that it returns.
//
// It may import fleet and allotment.
package leadership

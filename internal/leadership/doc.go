// Package leadership is the core that claims the engines of a zone: rounds,
// fences and the inventory that a round may count on. The argument for its
// safety is in docs/design/leadership.md.
//
// It may import fleet and allotment.
package leadership

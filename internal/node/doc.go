// Package node assembles and runs one spanlanding process. It reads and checks
// the settings, binds the listeners, starts the components in order, and
// stops or drains them.
//
// The decisions of membership, configuration sync, control and idempotency
// keys are made by cores without I/O in packages of their own. This package
// holds the shells around these cores: each shell feeds its core with messages
// and the time, from a mailbox or under a lock, performs the effects that the
// core returns, and publishes the results as views. It also converts between
// the cores' types and the peer protocol.
//
// It may import every product package; nothing but cmd may import it.
package node

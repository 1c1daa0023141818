package dispatch

import "sync"

// Shared makes a Core usable by several goroutines.
type Shared struct {
	mu   sync.Mutex
	core *Core
}

// NewShared returns a new core protected by a mutex.
func NewShared(options Options) *Shared {
	return &Shared{core: New(options)}
}

// Do calls use with exclusive access to the core.
func (s *Shared) Do(use func(*Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.core)
}

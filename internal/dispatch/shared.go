package dispatch

import "sync"

// Shared guards a Core that several goroutines use.
type Shared struct {
	mu   sync.Mutex
	core *Core
}

// NewShared returns a guarded new core.
func NewShared(options Options) *Shared {
	return &Shared{core: New(options)}
}

// Do calls use with the core while nobody else has it.
func (s *Shared) Do(use func(*Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.core)
}

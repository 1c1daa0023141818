package views

import (
	"sync"
	"sync/atomic"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Observable is one published value. The zero Observable is empty and ready to use.
type Observable[T any] struct {
	current atomic.Pointer[T]

	mutex    sync.Mutex
	watchers []func(T)
}

// Get returns the newest value, and false while none was set.
func (v *Observable[T]) Get() (T, bool) {
	current := v.current.Load()
	if current == nil {
		var none T
		return none, false
	}
	return *current, true
}

// Set replaces the value and calls the watchers in the order of their
// registration. What is set must not be changed afterwards.
func (v *Observable[T]) Set(value T) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current.Store(&value)
	for _, watcher := range v.watchers {
		watcher(value)
	}
}

// Watch calls the function at each later Set, and at once with the value that
// is already there. The function must not block and must not call Set.
func (v *Observable[T]) Watch(watcher func(T)) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.watchers = append(v.watchers, watcher)
	if current := v.current.Load(); current != nil {
		watcher(*current)
	}
}

// RouteTables are the newest route tables by zone.
type RouteTables map[fleet.Zone]fleet.RouteTable

// Views are the published values of one node.
type Views struct {
	// Members is written by the membership shell and includes the node itself
	// and the delegates known of other zones.
	Members Observable[[]fleet.Member]
	// Catalog is written by the configuration shell.
	Catalog Observable[*catalog.Snapshot]
	// RouteTables is written by the control shell.
	RouteTables Observable[RouteTables]
	// Machines is written by the platform shell.
	Machines Observable[objectstore.MachineList]
}

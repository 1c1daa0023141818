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

// Get returns the newest value, and false if none was set.
func (v *Observable[T]) Get() (T, bool) {
	current := v.current.Load()
	if current == nil {
		var zero T
		return zero, false
	}
	return *current, true
}

// Set replaces the value and calls the watchers in the order of their registration. The value must
// not be modified afterwards.
func (v *Observable[T]) Set(value T) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current.Store(&value)
	for _, watcher := range v.watchers {
		watcher(value)
	}
}

// Watch calls the function at once if there is a value, and again on each later Set. The function
// must not block and must not call Set.
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
	// Members is written by the membership component and includes the node itself and the known
	// delegates of other zones.
	Members Observable[[]fleet.Member]
	// Catalog is written by the configuration component.
	Catalog Observable[*catalog.Snapshot]
	// RouteTables is written by the control component.
	RouteTables Observable[RouteTables]
	// Machines is written by the platform component.
	Machines Observable[objectstore.MachineList]
}

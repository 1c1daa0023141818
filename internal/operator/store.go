package operator

import (
	"context"

	"github.com/spanlanding/spanlanding/internal/platform"
)

// Store is the object API as the commands use it. Put and Delete resolve a
// lost answer by reading back; an error that is no *ConflictError leaves the
// outcome unknown.
type Store interface {
	// List returns all objects, tombstones excluded.
	List(ctx context.Context) (platform.ObjectList, error)
	// Get returns false if there is no object or only a tombstone.
	Get(ctx context.Context, key platform.Key) (platform.Object, bool, error)
	// Put writes the object if its version in the store is the expected one, 0
	// for none, and returns it with its new version.
	Put(ctx context.Context, object platform.Object, expected uint64) (platform.Object, error)
	// Delete leaves a tombstone under the same condition. Of the object it
	// takes the key, the change id and the writer.
	Delete(ctx context.Context, object platform.Object, expected uint64) (platform.Object, error)
}

// ConflictError says that the object was not at the expected version.
type ConflictError struct {
	// Current is the object that stands.
	Current platform.Object
}

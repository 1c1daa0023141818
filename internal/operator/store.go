package operator

import (
	"context"

	"github.com/spanlanding/spanlanding/internal/platform"
)

// Store is the object API as the commands use it; platform.Client is one, and
// says which errors there are. Put and Delete resolve a lost answer by reading
// back.
type Store interface {
	// List returns the objects of a kind, of all kinds where it is empty.
	List(ctx context.Context, kind string) (platform.ObjectList, error)
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	// Put writes the object if its version in the store is the expected one, 0
	// for none, and returns it with its new version.
	Put(ctx context.Context, object platform.Object, expected uint64) (platform.Object, error)
	// Delete leaves a tombstone under the same condition.
	Delete(ctx context.Context, key platform.Key, expected uint64, changeID, changedBy string) (platform.Object, error)
}

var _ Store = (*platform.Client)(nil)

package operator

import (
	"context"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Store is the object API as the commands use it; objectstore.Client is one, and
// says which errors there are. Put and Delete resolve a lost answer by reading
// back.
type Store interface {
	// List returns the objects of a kind, of all kinds where it is empty.
	List(ctx context.Context, kind string) (objectstore.ObjectList, error)
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	// Put writes the object if its version in the store is the expected one, 0
	// for none, and returns it with its new version.
	Put(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error)
	// Delete leaves a tombstone under the same condition.
	Delete(ctx context.Context, key objectstore.Key, expected uint64, changeID, changedBy string) (objectstore.Object, error)
}

var _ Store = (*objectstore.Client)(nil)

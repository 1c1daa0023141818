package operator

import (
	"context"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Store is the part of the object API that the commands use. It is implemented
// by objectstore.Client, whose package defines the errors. After a lost response
// Put and Delete read the object back to find out whether the write took effect.
type Store interface {
	// List returns the objects of a kind, or of all kinds if it is empty.
	List(ctx context.Context, kind string) (objectstore.ObjectList, error)
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	// Put writes the object if its version in the store equals expected (0 if
	// it must not exist) and returns it with its new version.
	Put(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error)
	// Delete replaces the object by a tombstone under the same condition.
	Delete(ctx context.Context, key objectstore.Key, expected uint64, changeID, changedBy string) (objectstore.Object, error)
}

var _ Store = (*objectstore.Client)(nil)

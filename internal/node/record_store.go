package node

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// recordStore implements RecordStore on the platform's object API.
type recordStore struct {
	client *objectstore.Client
}

var _ RecordStore = recordStore{}

// Read implements RecordStore.
func (r recordStore) Read(ctx context.Context) (objectstore.Object, bool, error) {
	object, err := r.client.Get(ctx, objectstore.Key{Kind: objectstore.KindAllotments, Name: allotment.ObjectName})
	if errorx.IsOfType(err, objectstore.NotFound) {
		return objectstore.Object{}, false, nil
	}
	return object, err == nil, err
}

// Write implements RecordStore.
func (r recordStore) Write(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, bool, error) {
	written, err := r.client.Put(ctx, object, expected)
	if conflict, found := objectstore.AsConflict(err); found {
		return conflict.Current, true, nil
	}
	return written, false, err
}

package node

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/platform"
)

// recordStore keeps the record of allotments in the platform's store.
type recordStore struct {
	client *platform.Client
}

var _ RecordStore = recordStore{}

// Read implements RecordStore.
func (r recordStore) Read(ctx context.Context) (platform.Object, bool, error) {
	object, err := r.client.Get(ctx, platform.Key{Kind: platform.KindAllotments, Name: allotment.ObjectName})
	if errorx.IsOfType(err, platform.NotFound) {
		return platform.Object{}, false, nil
	}
	return object, err == nil, err
}

// Write implements RecordStore.
func (r recordStore) Write(ctx context.Context, object platform.Object, expected uint64) (platform.Object, bool, error) {
	written, err := r.client.Put(ctx, object, expected)
	if conflict, found := platform.AsConflict(err); found {
		return conflict.Current, true, nil
	}
	return written, false, err
}

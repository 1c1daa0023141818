package node

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/platform"
)

// platformRecords keeps the record of allotments in the platform's store.
type platformRecords struct{ client *platform.Client }

// NewRecordStore returns the RecordStore over the platform's client.
func NewRecordStore(client *platform.Client) RecordStore {
	return platformRecords{client: client}
}

// Read implements RecordStore.
func (r platformRecords) Read(ctx context.Context) (platform.Object, bool, error) {
	object, err := r.client.Get(ctx, platform.Key{Kind: platform.KindAllotments, Name: allotment.ObjectName})
	if errorx.IsOfType(err, platform.NotFound) {
		return platform.Object{}, false, nil
	}
	return object, err == nil && !object.Deleted, err
}

// Write implements RecordStore.
func (r platformRecords) Write(ctx context.Context, object platform.Object, expected uint64) (platform.Object, bool, error) {
	written, err := r.client.Put(ctx, object, expected)
	if conflict, found := platform.AsConflict(err); found {
		return conflict.Current, true, nil
	}
	return written, false, err
}

// CatalogFacts is what the control core takes of a catalog.
func CatalogFacts(snapshot *catalog.Snapshot) control.CatalogChanged {
	return control.CatalogChanged{
		Models:          snapshot.Models(),
		Adapters:        snapshot.Adapters(),
		ColdStartWeight: snapshot.Preferences().ColdStartWeight,
	}
}

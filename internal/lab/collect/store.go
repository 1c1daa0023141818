package collect

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// storeHistory is the observed content of the store and its changes, in the order
// of revisions.
type storeHistory struct {
	version     uint64
	objects     map[objectstore.Key]objectstore.Object
	decisions   []check.Decision
	changes     []check.ConfigChange
	maxReplicas map[fleet.ModelVersion]int
}

func newStoreHistory() storeHistory {
	return storeHistory{
		objects:     make(map[objectstore.Key]objectstore.Object),
		maxReplicas: make(map[fleet.ModelVersion]int),
	}
}

// allotmentRecord has the fields of the allotment record that the checks use.
type allotmentRecord struct {
	Models map[fleet.ModelVersion]struct {
		Decided int `json:"decided"`
	} `json:"models"`
}

// apply adds one change of the store.
func (h *storeHistory) apply(change books.StoreChange) error {
	object, at := change.Object, change.At
	h.version = max(h.version, object.Version)
	h.objects[object.Key()] = object
	if object.Kind == objectstore.KindAllotments {
		return h.applyDecision(object, at)
	}
	if !slices.Contains(spec.Kinds(), spec.Kind(object.Kind)) {
		return nil
	}
	h.changes = append(h.changes, check.ConfigChange{At: at, Version: object.Version})
	if spec.Kind(object.Kind) == spec.KindModel && !object.Deleted {
		return h.applyModel(object)
	}
	return nil
}

// applyDecision records the replica counts of an allotment record.
func (h *storeHistory) applyDecision(object objectstore.Object, at time.Time) error {
	var record allotmentRecord
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return fmt.Errorf("allotments at version %d: %w", object.Version, err)
	}
	decision := check.Decision{At: at, Version: object.Version, Replicas: make(map[fleet.ModelVersion]int)}
	for model, entry := range record.Models {
		decision.Replicas[model] = entry.Decided
	}
	h.decisions = append(h.decisions, decision)
	return nil
}

// applyModel keeps the largest replica maximum that was ever declared. A lowered
// maximum takes effect through the decisions.
func (h *storeHistory) applyModel(object objectstore.Object) error {
	var model spec.Model
	if err := json.Unmarshal(object.Spec, &model); err != nil {
		return fmt.Errorf("model %s: %w", object.Name, err)
	}
	bound := max(cmp.Or(model.Replicas.Max, 1), model.Replicas.Min)
	for _, version := range model.Versions {
		name := fleet.ModelVersion{Model: object.Name, Version: version.Name}
		h.maxReplicas[name] = max(h.maxReplicas[name], bound)
	}
	return nil
}

func (h *storeHistory) sortedObjects() []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(h.objects))
	for _, object := range h.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b objectstore.Object) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return objects
}

// readJournal applies the changes since the last read, with the times at which
// they took effect. It doesn't use the object API, because faults that make the
// store unavailable, slow or stale for the nodes must not affect the checks.
func (c *Collector) readJournal(ctx context.Context) error {
	c.journalMutex.Lock()
	defer c.journalMutex.Unlock()
	c.mutex.Lock()
	since := c.store.version
	c.mutex.Unlock()
	var changes []books.StoreChange
	url := fmt.Sprintf("%s/lab/journal?since=%d", c.options.Platform, since)
	if err := c.get(ctx, url, &changes); err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, change := range changes {
		if err := c.store.apply(change); err != nil {
			return err
		}
	}
	return nil
}

// get reads JSON from a URL with the collector's client.
func (c *Collector) get(ctx context.Context, url string, into any) error {
	return GetJSON(ctx, c.client, url, into)
}

// GetJSON sends a GET request to a stand-in or a node and decodes the JSON
// answer into the given value.
func GetJSON(ctx context.Context, client *http.Client, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

package collect

import (
	"bufio"
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
	"github.com/spanlanding/spanlanding/internal/platform"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// storeHistory is what the store was seen to hold, in the order of its
// revisions.
type storeHistory struct {
	objects     map[platform.Key]platform.Object
	decisions   []check.Decision
	changes     []check.ConfigChange
	maxReplicas map[fleet.ModelVersion]int
}

func newStoreHistory() storeHistory {
	return storeHistory{
		objects:     make(map[platform.Key]platform.Object),
		maxReplicas: make(map[fleet.ModelVersion]int),
	}
}

// declaredKinds are the kinds that make up the configuration.
var declaredKinds = []spec.Kind{
	spec.KindModel, spec.KindAdapter, spec.KindDeployment, spec.KindSelector,
	spec.KindService, spec.KindCapacity, spec.KindPreferences,
}

// allotmentRecord is the part of the allotment record that is judged by.
type allotmentRecord struct {
	Models map[fleet.ModelVersion]struct {
		Decided int `json:"decided"`
	} `json:"models"`
}

// take adds one object as it is after a change.
func (h *storeHistory) take(object platform.Object, at time.Time) error {
	h.objects[object.Key()] = object
	if object.Kind == platform.KindAllotments {
		return h.takeDecision(object, at)
	}
	if !slices.Contains(declaredKinds, spec.Kind(object.Kind)) {
		return nil
	}
	h.changes = append(h.changes, check.ConfigChange{At: at, Version: object.Version})
	if spec.Kind(object.Kind) == spec.KindModel && !object.Deleted {
		return h.takeModel(object)
	}
	return nil
}

func (h *storeHistory) takeDecision(object platform.Object, at time.Time) error {
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

// takeModel keeps the largest bound that was ever declared: lowered bounds take
// effect through the decisions.
func (h *storeHistory) takeModel(object platform.Object) error {
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

func (h *storeHistory) sortedObjects() []platform.Object {
	objects := make([]platform.Object, 0, len(h.objects))
	for _, object := range h.objects {
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(a, b platform.Object) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	return objects
}

// readStore reads the whole store and returns the revision that it showed.
func (c *Collector) readStore(ctx context.Context) (uint64, error) {
	var list platform.ObjectList
	if err := c.get(ctx, c.options.Platform+"/v1/objects", &list); err != nil {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, object := range list.Objects {
		if err := c.store.take(object, time.Now()); err != nil {
			return 0, err
		}
	}
	return list.Version, nil
}

// watchRetry is the time between two tries to watch.
const watchRetry = 200 * time.Millisecond

// watchStore follows the store's changes until the context ends.
func (c *Collector) watchStore(ctx context.Context, since uint64) {
	for ctx.Err() == nil {
		next, err := c.watchOnce(ctx, since)
		since = next
		if err != nil && ctx.Err() == nil {
			c.problem("watch", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// watchOnce follows one watch to its end and returns the revision reached.
func (c *Collector) watchOnce(ctx context.Context, since uint64) (uint64, error) {
	url := fmt.Sprintf("%s/v1/watch?since=%d", c.options.Platform, since)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return since, err
	}
	watcher := &http.Client{Transport: c.client.Transport}
	response, err := watcher.Do(request)
	if err != nil {
		return since, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return since, fmt.Errorf("status %d", response.StatusCode)
	}
	decoder := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var event platform.WatchEvent
		if err := decoder.Decode(&event); err != nil {
			return since, err
		}
		since = max(since, event.Version)
		if event.Object == nil {
			continue
		}
		if err := c.takeEvent(*event.Object); err != nil {
			return since, err
		}
	}
}

func (c *Collector) takeEvent(object platform.Object) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.store.take(object, time.Now())
}

// get reads JSON.
func (c *Collector) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

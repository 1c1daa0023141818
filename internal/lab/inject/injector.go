package inject

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// Options configure which faults are injected, where and for how long.
type Options struct {
	Kinds    []Kind
	Targets  []Target
	Duration time.Duration
	Seed     uint64
}

const postTimeout = 2 * time.Second

// injector executes one fault schedule.
type injector struct {
	windows []window
	client  *http.Client
	// active has the fault sets in force at each URL.
	active map[string][]faults.Set
	log    []history.Fault
	errors []error
}

// boundary is the start or the end of a window.
type boundary struct {
	at     time.Duration
	window int
	open   bool
}

// Run injects the scheduled faults until the last one ends or the context is
// canceled, and then clears the faults of every target. It returns the fault
// events in order; the error joins the errors of all failed calls.
func Run(ctx context.Context, options Options) ([]history.Fault, error) {
	i := &injector{
		windows: plan(options.Kinds, options.Targets, options.Duration, options.Seed),
		client:  &http.Client{Timeout: postTimeout},
		active:  make(map[string][]faults.Set),
	}
	start := time.Now()
	for _, next := range i.boundaries() {
		if !sleep(ctx, time.Until(start.Add(next.at))) {
			break
		}
		i.apply(ctx, next)
	}
	i.clear(context.WithoutCancel(ctx))
	return i.log, errors.Join(i.errors...)
}

// boundaries lists the starts and ends of the windows by time. At the same time,
// ends precede starts.
func (i *injector) boundaries() []boundary {
	var all []boundary
	for index, window := range i.windows {
		all = append(all, boundary{at: window.from, window: index, open: true})
		if !window.oneShot {
			all = append(all, boundary{at: window.to, window: index})
		}
	}
	slices.SortStableFunc(all, func(a, b boundary) int {
		switch {
		case a.at != b.at:
			return int(a.at - b.at)
		case a.open == b.open:
			return a.window - b.window
		case a.open:
			return 1
		default:
			return -1
		}
	})
	return all
}

// apply starts or ends a window at its targets and records the event.
func (i *injector) apply(ctx context.Context, next boundary) {
	changed := i.windows[next.window]
	for _, url := range slices.Sorted(maps.Keys(changed.sets)) {
		set := changed.sets[url]
		switch {
		case changed.oneShot:
			i.post(ctx, url, merge(append(slices.Clone(i.active[url]), set)))
			continue
		case next.open:
			i.active[url] = append(i.active[url], set)
		default:
			i.remove(url, set)
		}
		i.post(ctx, url, merge(i.active[url]))
	}
	kind := history.FaultInjected
	if !next.open {
		kind = history.FaultCleared
	}
	i.log = append(i.log, history.Fault{At: time.Now(), Kind: kind, Target: changed.target, Detail: string(changed.kind)})
}

// remove removes one active set equal to the given one.
func (i *injector) remove(url string, set faults.Set) {
	wanted := fmt.Sprint(set)
	for index, active := range i.active[url] {
		if fmt.Sprint(active) == wanted {
			i.active[url] = slices.Delete(i.active[url], index, index+1)
			return
		}
	}
}

// clear removes the faults of every target that still has some.
func (i *injector) clear(ctx context.Context) {
	for _, url := range slices.Sorted(maps.Keys(i.active)) {
		if len(i.active[url]) > 0 {
			i.post(ctx, url, faults.Set{})
		}
	}
}

func (i *injector) post(ctx context.Context, url string, set faults.Set) {
	if err := post(ctx, i.client, url, set); err != nil {
		i.errors = append(i.errors, fmt.Errorf("faults of %s: %w", url, err))
	}
}

func post(ctx context.Context, client *http.Client, url string, set faults.Set) error {
	body, err := json.Marshal(set)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+faults.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// sleep returns false if the context is canceled before the wait is over.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

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

// Options say which faults come when.
type Options struct {
	Kinds    []Kind
	Targets  []Target
	Duration time.Duration
	Seed     uint64
}

const postTimeout = 2 * time.Second

// injector carries out one plan.
type injector struct {
	windows []window
	client  *http.Client
	// active are the windows open at each URL.
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

// Run brings the faults about until the last is over or the context ends, and
// leaves every target without faults. It returns what it did, in order; the
// error has every call that failed.
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
		i.cross(ctx, next)
	}
	i.clear(context.WithoutCancel(ctx))
	return i.log, errors.Join(i.errors...)
}

// boundaries are in the order of time; at one time ends go first.
func (i *injector) boundaries() []boundary {
	var all []boundary
	for index, window := range i.windows {
		all = append(all, boundary{at: window.from, window: index, open: true})
		if !window.once {
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

func (i *injector) cross(ctx context.Context, next boundary) {
	crossed := i.windows[next.window]
	for _, url := range slices.Sorted(maps.Keys(crossed.sets)) {
		set := crossed.sets[url]
		switch {
		case crossed.once:
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
	i.log = append(i.log, history.Fault{At: time.Now(), Kind: kind, Target: crossed.name, Detail: string(crossed.kind)})
}

// remove takes one set equal to the given one away.
func (i *injector) remove(url string, set faults.Set) {
	wanted := fmt.Sprint(set)
	for index, active := range i.active[url] {
		if fmt.Sprint(active) == wanted {
			i.active[url] = slices.Delete(i.active[url], index, index+1)
			return
		}
	}
}

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

// sleep returns false if the context ended first.
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

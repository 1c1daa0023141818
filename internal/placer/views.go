package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// HasServer reports whether the server is known.
func (c *Core) HasServer(serverID string) bool {
	_, ok := c.servers[serverID]
	return ok
}

// ServerCount returns the number of known servers.
func (c *Core) ServerCount() int { return len(c.servers) }

// Views returns the views of all servers whose state is known.
func (c *Core) Views(now time.Time) []dispatch.View {
	return c.ViewsOf(now, func(string) bool { return true })
}

// ViewsOf returns the views of the servers selected by include.
func (c *Core) ViewsOf(now time.Time, include func(serverID string) bool) []dispatch.View {
	var views []dispatch.View
	for _, s := range c.serversByID() {
		if s.synced && include(s.info.ID) {
			views = append(views, s.view(now))
		}
	}
	return views
}

// view returns what is published about the server. Models that are being unloaded are left out.
func (s *server) view(now time.Time) dispatch.View {
	view := dispatch.View{
		ServerID:    s.info.ID,
		StartedAtMs: s.info.StartedAtMs,
		Sequence:    s.sequence,
		Held:        make(map[string][]string, len(s.models)),
		Loading:     make(map[string]time.Duration),
	}
	for name, source := range s.cachedWeights {
		switch source {
		case SourceMemory:
			view.InMemory = append(view.InMemory, name)
		case SourceDisk:
			view.OnDisk = append(view.OnDisk, name)
		}
	}
	slices.Sort(view.InMemory)
	slices.Sort(view.OnDisk)
	for name, model := range s.models {
		if name == s.unloading {
			continue
		}
		adapters := make([]string, 0, len(model.adapters))
		for adapterName, adapter := range model.adapters {
			if left := adapter.readyAt.Sub(now); left > 0 {
				view.Loading[name+"/"+adapterName] = left
			} else {
				adapters = append(adapters, adapterName)
			}
		}
		slices.Sort(adapters)
		view.Held[name] = adapters
	}
	if s.loading == nil && s.isReserved(now) {
		view.Loading[s.reservation.model] = pendingOrderWait + s.reservation.loadTime
	}
	if s.loading != nil {
		view.Loading[s.loading.model] = max(time.Millisecond, s.loading.readyAt.Sub(now))
	}
	return view
}

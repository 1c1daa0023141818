package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// HasServer reports whether there is such a server.
func (c *Core) HasServer(serverID string) bool {
	_, ok := c.servers[serverID]
	return ok
}

// ServerCount is the number of servers that the leader knows.
func (c *Core) ServerCount() int { return len(c.servers) }

// Views are what the leader says of each server that it knows.
func (c *Core) Views(now time.Time) []dispatch.View {
	return c.ViewsOf(now, func(string) bool { return true })
}

// ViewsOf are the views of the servers that are wanted.
func (c *Core) ViewsOf(now time.Time, wanted func(serverID string) bool) []dispatch.View {
	var views []dispatch.View
	for _, s := range c.sorted() {
		if s.synced && wanted(s.info.ID) {
			views = append(views, s.view(now))
		}
	}
	return views
}

func (s *server) view(now time.Time) dispatch.View {
	view := dispatch.View{
		ServerID:    s.info.ID,
		StartedAtMs: s.info.StartedAtMs,
		Sequence:    s.sequence,
		Held:        make(map[string][]string, len(s.held)),
		Loading:     make(map[string]time.Duration),
	}
	for name, source := range s.copies {
		switch source {
		case SourceMemory:
			view.InMemory = append(view.InMemory, name)
		case SourceDisk:
			view.OnDisk = append(view.OnDisk, name)
		}
	}
	slices.Sort(view.InMemory)
	slices.Sort(view.OnDisk)
	for name, model := range s.held {
		if name == s.unloading {
			continue
		}
		adapters := make([]string, 0, len(model.adapters))
		for adapterName, adapter := range model.adapters {
			if left := adapter.ready.Sub(now); left > 0 {
				view.Loading[name+"/"+adapterName] = left
			} else {
				adapters = append(adapters, adapterName)
			}
		}
		slices.Sort(adapters)
		view.Held[name] = adapters
	}
	if s.loading == nil && s.hasIntent(now) {
		view.Loading[s.intent.model] = orderWait + s.intent.takes
	}
	if s.loading != nil {
		view.Loading[s.loading.model] = max(time.Millisecond, s.loading.ready.Sub(now))
	}
	return view
}

package dispatch

import (
	"slices"
	"strings"
)

// modelIndex finds servers by model, so that the cost of a selection depends on the copies of a
// model and not on the servers of its service. With 3,000 servers a selection without it took
// 0.17 ms, and each check of a waiting request 0.57 ms. A server is listed for every model named in
// its entry or in the leader's view, whichever of them is in force, so callers must check the
// server itself.
type modelIndex struct {
	// hosting lists the servers that hold the model, or are loading it or an adapter of it.
	hosting map[string][]*server
	// storing lists the servers with the model's weights in memory or on disk, besides those they
	// hold.
	storing map[string][]*server
}

func newModelIndex() modelIndex {
	return modelIndex{hosting: make(map[string][]*server), storing: make(map[string][]*server)}
}

// put lists a server under the models that it names now, and no longer under earlier ones.
func (i modelIndex) put(s *server) {
	hosted, stored := s.hostedModels(), s.storedModels()
	reindex(i.hosting, s, s.indexedHosted, hosted)
	reindex(i.storing, s, s.indexedStored, stored)
	s.indexedHosted, s.indexedStored = hosted, stored
}

// remove removes a server from the index.
func (i modelIndex) remove(s *server) {
	reindex(i.hosting, s, s.indexedHosted, nil)
	reindex(i.storing, s, s.indexedStored, nil)
	s.indexedHosted, s.indexedStored = nil, nil
}

// reindex updates a server's models in an index. Both lists of models are sorted.
func reindex(index map[string][]*server, s *server, before, after []string) {
	for _, model := range before {
		if _, stays := slices.BinarySearch(after, model); stays {
			continue
		}
		listed := index[model]
		at := slices.Index(listed, s)
		last := len(listed) - 1
		listed[at], listed[last] = listed[last], nil
		if index[model] = listed[:last]; last == 0 {
			delete(index, model)
		}
	}
	for _, model := range after {
		if _, known := slices.BinarySearch(before, model); !known {
			index[model] = append(index[model], s)
		}
	}
}

// hostedModels returns the models that the server holds or is loading, by its entry or its view.
func (s *server) hostedModels() []string {
	models := make([]string, 0, len(s.held))
	for model := range s.held {
		models = append(models, model)
	}
	if s.view != nil {
		for model := range s.view.Held {
			models = append(models, model)
		}
		for name := range s.view.Loading {
			model, _, _ := strings.Cut(name, "/")
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// storedModels returns the models whose weights the server keeps besides those that it holds.
func (s *server) storedModels() []string {
	models := slices.Concat(s.info.InMemory, s.info.OnDisk)
	if s.view != nil {
		models = slices.Concat(models, s.view.InMemory, s.view.OnDisk)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// serversFor returns the servers that may have a model, or all of the service if model is empty.
func (c *Core) serversFor(service, model string) []*server {
	if model == "" {
		return c.byService[service]
	}
	return c.index.hosting[model]
}

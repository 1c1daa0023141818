package placer

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Summary describes the placement of one service's models, for logs. The fields correspond to log
// keys.
type Summary struct {
	Service string
	// Servers is the number of known servers, Known the number of those with a current report.
	Servers int
	Known   int
	// Copies is the number of models held over all servers, Wanted the number of models with
	// recent demand, and Absent the number of those without any copy.
	Copies int
	Wanted int
	Absent int
	// Loading is the number of loads in progress, LoadingFromStore the number of those from the
	// weight store, and Emptied the number of servers reserved for a model.
	Loading          int
	LoadingFromStore int
	Emptied          int
	// Closed is the number of unavailable servers.
	Closed int
	// Paused is the number of models whose loads are paused because they crashed servers.
	Paused int
	// Several lists the models with more than one copy, as MODEL:COPIES/NEEDED.
	Several string
}

// maxListedModels limits the models listed in a summary.
const maxListedModels = 12

// Summaries returns a summary for each service that has an engine, sorted by name.
func (c *Core) Summaries(now time.Time) []Summary {
	if c.table == nil {
		return nil
	}
	var summaries []Summary
	for name, service := range c.table.Services {
		if service.Engine == nil {
			continue
		}
		r := &planRound{core: c, now: now, service: name, engine: service.Engine, servers: c.serversOf(name)}
		summaries = append(summaries, r.summary())
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return summaries
}

func (r *planRound) summary() Summary {
	sum := Summary{Service: r.service, Servers: len(r.servers), LoadingFromStore: r.activeStoreLoads()}
	for _, s := range r.servers {
		sum.Copies += len(s.models)
		if s.synced {
			sum.Known++
		}
		if s.loading != nil {
			sum.Loading++
		}
		if s.isUnavailable {
			sum.Closed++
		}
		if s.isReserved(r.now) {
			sum.Emptied++
		}
	}
	var replicated []string
	for name := range r.engine.Models {
		copies, needed := r.copiesOf(name), r.neededCopies(name)
		if needed > 0 {
			sum.Wanted++
		}
		if needed > 0 && copies == 0 {
			sum.Absent++
		}
		if r.core.isLoadPaused(r.now, r.service, name) {
			sum.Paused++
		}
		if copies > 1 {
			replicated = append(replicated, name+":"+strconv.Itoa(copies)+"/"+strconv.Itoa(needed))
		}
	}
	slices.Sort(replicated)
	sum.Several = strings.Join(replicated[:min(len(replicated), maxListedModels)], ",")
	return sum
}

// activeStoreLoads counts the servers that may be loading from the weight store.
func (r *planRound) activeStoreLoads() int {
	count := 0
	for _, s := range r.servers {
		if s.mayLoadFromStore() {
			count++
		}
	}
	return count
}

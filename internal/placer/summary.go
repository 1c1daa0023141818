package placer

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Summary is where the models of one service stand, for logs.
type Summary struct {
	Service string
	// Servers are those that the leader knows, Known those whose report is new.
	Servers int
	Known   int
	// Copies are the places in use, Wanted the models that were asked for
	// lately, Absent those of them that stand nowhere.
	Copies int
	Wanted int
	Absent int
	// Loading are the loads under way, LoadingFromStore those of them from the
	// weight store, Emptied the servers kept for a model.
	Loading          int
	LoadingFromStore int
	Emptied          int
	// Closed are the servers in evacuated zones.
	Closed int
	// Paused are models that are not loaded, since their loads end servers.
	Paused int
	// Several names the models on several servers, as MODEL:COPIES/NEEDED.
	Several string
}

// maxSeveral bounds the models that a summary names.
const maxSeveral = 12

// Summaries are where the models of each service stand.
func (c *Core) Summaries(now time.Time) []Summary {
	if c.table == nil {
		return nil
	}
	var summaries []Summary
	for name, service := range c.table.Services {
		if service.Engine == nil {
			continue
		}
		r := &round{core: c, now: now, service: name, engine: service.Engine, servers: c.serversOf(name)}
		summaries = append(summaries, r.summary())
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Service, b.Service) })
	return summaries
}

func (r *round) summary() Summary {
	sum := Summary{Service: r.service, Servers: len(r.servers), LoadingFromStore: r.loadsUnderWay()}
	for _, s := range r.servers {
		sum.Copies += len(s.held)
		if s.synced {
			sum.Known++
		}
		if s.loading != nil {
			sum.Loading++
		}
		if s.isClosed {
			sum.Closed++
		}
		if s.hasIntent(r.now) {
			sum.Emptied++
		}
	}
	var several []string
	for name := range r.engine.Models {
		copies, needed := r.copiesOf(name), r.needed(name)
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
			several = append(several, name+":"+strconv.Itoa(copies)+"/"+strconv.Itoa(needed))
		}
	}
	slices.Sort(several)
	sum.Several = strings.Join(several[:min(len(several), maxSeveral)], ",")
	return sum
}

// loadsUnderWay counts the loads from the weight store.
func (r *round) loadsUnderWay() int {
	count := 0
	for _, s := range r.servers {
		if s.mayLoadFromStore() {
			count++
		}
	}
	return count
}

package operator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Status is what one node knows of itself and the fleet.
type Status struct {
	Node     fleet.NodeName `json:"node"`
	Zone     fleet.Zone     `json:"zone"`
	Ready    bool           `json:"ready"`
	Draining bool           `json:"draining"`
	// ConfigVersion is the store revision that the node has in force.
	ConfigVersion uint64         `json:"configVersion"`
	UptimeSeconds float64        `json:"uptimeSeconds"`
	Members       []fleet.Member `json:"members"`
	Zones         []ZoneStatus   `json:"zones"`
	Models        []ModelStatus  `json:"models"`
	Queues        []QueueStatus  `json:"queues"`
}

// ZoneStatus is what the node knows of one zone's leadership.
type ZoneStatus struct {
	Zone   fleet.Zone     `json:"zone"`
	Leader fleet.NodeName `json:"leader"`
	// Fence has the form allotment.term.holder.
	Fence    string `json:"fence"`
	Sequence uint64 `json:"sequence"`
	// TableAgeSeconds is the time since the route table came in.
	TableAgeSeconds float64 `json:"tableAgeSeconds"`
	Engines         int     `json:"engines"`
	Services        int     `json:"services"`
	Leaving         int     `json:"leaving"`
	// Evacuated is set while the configuration in force takes the zone out of
	// service.
	Evacuated bool `json:"evacuated"`
}

// ModelStatus counts the replicas of one model version in all zones known.
type ModelStatus struct {
	Model fleet.ModelVersion `json:"model"`
	// Decided is the number of replicas that the fleet decided on.
	Decided   int `json:"decided"`
	Ready     int `json:"ready"`
	Loading   int `json:"loading"`
	Unloading int `json:"unloading"`
	// Waiting counts the requests that wait for it at this node.
	Waiting int `json:"waiting"`
}

// QueueStatus is one model's queue at this node.
type QueueStatus struct {
	Model   fleet.ModelVersion `json:"model"`
	Waiting int                `json:"waiting"`
	// OldestSeconds is how long the oldest request has waited.
	OldestSeconds float64 `json:"oldestSeconds"`
}

// VersionReport says which configuration is in force at which member.
type VersionReport struct {
	Node fleet.NodeName `json:"node"`
	Zone fleet.Zone     `json:"zone"`
	// Members holds every member of the node's own zone, and those it knows of
	// other zones.
	Members []fleet.Member `json:"members"`
	// Listed names the nodes that the platform's list shows as live.
	Listed []fleet.NodeName `json:"listed,omitempty"`
}

// ZonesOf summarizes route tables; received says when each came in.
func ZonesOf(tables views.RouteTables, received map[fleet.Zone]time.Time, now time.Time) []ZoneStatus {
	zones := make([]ZoneStatus, 0, len(tables))
	for _, zone := range slices.Sorted(maps.Keys(tables)) {
		table := tables[zone]
		status := ZoneStatus{
			Zone: zone, Leader: table.Leader, Fence: table.Fence.String(), Sequence: table.Sequence,
			Engines: len(table.Engines), Services: len(table.Services),
		}
		if at, found := received[zone]; found {
			status.TableAgeSeconds = now.Sub(at).Seconds()
		}
		for _, engine := range table.Engines {
			if engine.Leaving {
				status.Leaving++
			}
		}
		for _, service := range table.Services {
			if service.Leaving {
				status.Leaving++
			}
		}
		zones = append(zones, status)
	}
	return zones
}

// MarkEvacuated marks the zones out of service; one that has no table is added, so
// that a misspelt zone is seen.
func MarkEvacuated(zones []ZoneStatus, evacuated []string) []ZoneStatus {
	marked := slices.Clone(zones)
	for _, name := range evacuated {
		index := slices.IndexFunc(marked, func(zone ZoneStatus) bool { return string(zone.Zone) == name })
		if index < 0 {
			marked = append(marked, ZoneStatus{Zone: fleet.Zone(name)})
			index = len(marked) - 1
		}
		marked[index].Evacuated = true
	}
	return marked
}

// ModelsOf counts replicas by the route tables, beside what was decided and
// what waits here. Models without any of these are left out.
func ModelsOf(tables views.RouteTables, decided map[fleet.ModelVersion]int, queues []QueueStatus) []ModelStatus {
	byModel := make(map[fleet.ModelVersion]*ModelStatus)
	entry := func(model fleet.ModelVersion) *ModelStatus {
		if byModel[model] == nil {
			byModel[model] = &ModelStatus{Model: model}
		}
		return byModel[model]
	}
	for _, table := range tables {
		for _, engine := range table.Engines {
			for _, loaded := range engine.Models {
				entry(loaded.Model).count(loaded.State)
			}
		}
	}
	for model, replicas := range decided {
		if replicas > 0 {
			entry(model).Decided = replicas
		}
	}
	for _, queue := range queues {
		if queue.Waiting > 0 {
			entry(queue.Model).Waiting = queue.Waiting
		}
	}
	models := make([]ModelStatus, 0, len(byModel))
	for _, status := range byModel {
		models = append(models, *status)
	}
	slices.SortFunc(models, func(left, right ModelStatus) int { return left.Model.Compare(right.Model) })
	return models
}

func (m *ModelStatus) count(state fleet.LoadState) {
	switch state {
	case fleet.LoadReady:
		m.Ready++
	case fleet.LoadLoading:
		m.Loading++
	case fleet.LoadUnloading:
		m.Unloading++
	}
}

func sortMembers(members []fleet.Member) []fleet.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(left, right fleet.Member) int {
		return cmp.Or(cmp.Compare(left.Zone, right.Zone), cmp.Compare(left.Name, right.Name))
	})
	return sorted
}

package operator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Status is one node's view of itself and of the fleet.
type Status struct {
	Node     fleet.NodeName `json:"node"`
	Zone     fleet.Zone     `json:"zone"`
	Ready    bool           `json:"ready"`
	Draining bool           `json:"draining"`
	// ConfigVersion is the store revision of the node's active configuration.
	ConfigVersion uint64         `json:"configVersion"`
	UptimeSeconds float64        `json:"uptimeSeconds"`
	Members       []fleet.Member `json:"members"`
	Zones         []ZoneStatus   `json:"zones"`
	Models        []ModelStatus  `json:"models"`
	Queues        []QueueStatus  `json:"queues"`
}

// ZoneStatus summarizes one zone's leadership and route table as known to the
// node.
type ZoneStatus struct {
	Zone   fleet.Zone     `json:"zone"`
	Leader fleet.NodeName `json:"leader"`
	// Fence has the form allotment.term.holder.
	Fence    string `json:"fence"`
	Sequence uint64 `json:"sequence"`
	// TableAgeSeconds is the time since the route table was received.
	TableAgeSeconds float64 `json:"tableAgeSeconds"`
	Engines         int     `json:"engines"`
	Services        int     `json:"services"`
	Leaving         int     `json:"leaving"`
	// Evacuated is set while the active configuration takes the zone out of
	// service.
	Evacuated bool `json:"evacuated"`
}

// ModelStatus counts the replicas of one model version across all known zones.
type ModelStatus struct {
	Model fleet.ModelVersion `json:"model"`
	// Decided is the target number of replicas.
	Decided   int `json:"decided"`
	Ready     int `json:"ready"`
	Loading   int `json:"loading"`
	Unloading int `json:"unloading"`
	// Waiting is the number of requests for it that are queued at this node.
	Waiting int `json:"waiting"`
}

// QueueStatus describes one model's request queue at this node.
type QueueStatus struct {
	Model   fleet.ModelVersion `json:"model"`
	Waiting int                `json:"waiting"`
	// OldestSeconds is the waiting time of the oldest queued request.
	OldestSeconds float64 `json:"oldestSeconds"`
}

// VersionReport lists the active configuration version of each member.
type VersionReport struct {
	Node fleet.NodeName `json:"node"`
	Zone fleet.Zone     `json:"zone"`
	// Members holds every member of the node's own zone, and the members of
	// other zones that the node knows of.
	Members []fleet.Member `json:"members"`
	// Listed holds the nodes that the platform's machine list shows as live.
	Listed []fleet.NodeName `json:"listed,omitempty"`
}

// ZonesOf summarizes the route tables, sorted by zone. received holds the time
// at which each table was received.
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

// MarkEvacuated returns zones with the evacuated ones marked. An evacuated zone
// that is not among them is appended, so that a misspelt name is visible.
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

// ModelsOf combines, for each model version, the replicas in the route tables,
// the target replica count and the number of requests queued at this node.
// Models that have none of these are omitted.
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

package catalog

import (
	"slices"
	"strings"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Snapshot is the catalog at one store revision. It is immutable: callers
// must not change the slices that it returns.
type Snapshot struct {
	version uint64

	models       []ModelInfo
	modelIndex   map[fleet.ModelVersion]int
	adapters     []AdapterInfo
	adapterIndex map[fleet.AdapterName]int
	deployments  []DeploymentInfo
	// deploymentIndex finds a deployment by its name.
	deploymentIndex map[string]int
	modelNames      []string
	// selectors are in the order in which they are tried.
	selectors []selector
	// selectorIndex finds a selector by its name.
	selectorIndex map[string]int
	// selectorsByLabel files each selector under one label that it asks for;
	// anySelectors are those that ask for none by value.
	selectorsByLabel map[labelPair][]int
	anySelectors     []int
	// services are ordered by the length of their prefix, longest first.
	services    []service
	preferences spec.Preferences
	places      locality.Map
	// tenants holds the declared tenants; needsKey is set also where none of them can be
	// read.
	tenants  routetable.Table
	needsKey bool
	// evacuated are sorted by name.
	evacuated []string
}

// DeploymentInfo describes a deployment to callers.
type DeploymentInfo struct {
	Name     fleet.DeploymentName
	Labels   map[string]string
	Adapter  fleet.AdapterName
	Versions []WeightedModel
	// ContextTokens bounds prompt and answer together; 0 is without bound.
	ContextTokens int
	// CreatedVersion is the store revision of the deployment's last change.
	CreatedVersion uint64
}

// ServiceInfo describes a declared service.
type ServiceInfo struct {
	Name       string
	PathPrefix string
}

// Version is the store revision that the snapshot shows.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// Models are the facts of all declared model versions in order.
func (s *Snapshot) Models() []ModelInfo {
	return s.models
}

// Model returns the facts of one model version.
func (s *Snapshot) Model(model fleet.ModelVersion) (ModelInfo, bool) {
	index, found := s.modelIndex[model]
	if !found {
		return ModelInfo{}, false
	}
	return s.models[index], true
}

// Adapters are the facts of all declared adapters, ordered by name.
func (s *Snapshot) Adapters() []AdapterInfo {
	return s.adapters
}

// Adapter returns the facts of one adapter.
func (s *Snapshot) Adapter(name fleet.AdapterName) (AdapterInfo, bool) {
	index, found := s.adapterIndex[name]
	if !found {
		return AdapterInfo{}, false
	}
	return s.adapters[index], true
}

// Deployments describes all deployments, ordered by name.
func (s *Snapshot) Deployments() []DeploymentInfo {
	return s.deployments
}

// ModelNames lists, in order, what callers may name as model.
func (s *Snapshot) ModelNames() []string {
	return s.modelNames
}

// Services describes all services, ordered by name.
func (s *Snapshot) Services() []ServiceInfo {
	infos := make([]ServiceInfo, 0, len(s.services))
	for _, known := range s.services {
		infos = append(infos, ServiceInfo{Name: known.name, PathPrefix: known.PathPrefix})
	}
	slices.SortFunc(infos, func(a, b ServiceInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

// Preferences weigh the cold-start tail against idle accelerator hours.
func (s *Snapshot) Preferences() spec.Preferences {
	return s.preferences
}

// Evacuations are the zones that are out of service as of the snapshot.
func (s *Snapshot) Evacuations() evacuation.Snapshot {
	return evacuation.Snapshot{Zones: s.evacuated, Position: storepos.At(0, int64(s.version))}
}

// IsEvacuated reports whether the zone is out of service.
func (s *Snapshot) IsEvacuated(zone fleet.Zone) bool {
	return slices.Contains(s.evacuated, string(zone))
}

// Topology tells the region of each zone.
func (s *Snapshot) Topology() locality.Map {
	return s.places
}

// SelectorRegions are the regions in which a selector's requests may run; ok is false
// where there is no such selector.
func (s *Snapshot) SelectorRegions(name string) (regions locality.Regions, ok bool) {
	index, ok := s.selectorIndex[name]
	if !ok {
		return regions, false
	}
	return s.selectors[index].regions, true
}

// ServiceRegions are the regions in which a service's calls may run; ok is false where
// there is no such service.
func (s *Snapshot) ServiceRegions(name string) (regions locality.Regions, ok bool) {
	for index := range s.services {
		if s.services[index].name == name {
			return s.services[index].regions, true
		}
	}
	return regions, false
}

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

// Snapshot is the catalog at one store revision. It is immutable: callers must not
// modify the slices that it returns.
type Snapshot struct {
	version uint64

	models       []ModelInfo
	modelIndex   map[fleet.ModelVersion]int
	adapters     []AdapterInfo
	adapterIndex map[fleet.AdapterName]int
	deployments  []DeploymentInfo
	// deploymentIndex is the index of each deployment by name.
	deploymentIndex map[string]int
	modelNames      []string
	// selectors are in order of evaluation.
	selectors []selector
	// selectorIndex is the index of each selector by name.
	selectorIndex map[string]int
	// selectorsByLabel contains each selector under one of the labels that it requires;
	// unlabeledSelectors are those that require no label value.
	selectorsByLabel   map[labelPair][]int
	unlabeledSelectors []int
	// services are in descending order of prefix length.
	services    []service
	preferences spec.Preferences
	topology    locality.Map
	// tenants holds the valid tenants. needsKey is set where any is declared, even if none
	// is valid.
	tenants  routetable.Table
	needsKey bool
	// evacuated are the evacuated zones, sorted by name.
	evacuated []string
}

// DeploymentInfo describes a deployment to callers.
type DeploymentInfo struct {
	Name     fleet.DeploymentName
	Labels   map[string]string
	Adapter  fleet.AdapterName
	Versions []WeightedModel
	// ContextTokens bounds the sum of prompt and output tokens; 0 is no bound.
	ContextTokens int
	// CreatedVersion is the store revision of the deployment's last change.
	CreatedVersion uint64
}

// ServiceInfo describes a declared service.
type ServiceInfo struct {
	Name       string
	PathPrefix string
}

// Version returns the store revision of the snapshot.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// Models returns all declared model versions in order.
func (s *Snapshot) Models() []ModelInfo {
	return s.models
}

// Model returns one model version.
func (s *Snapshot) Model(model fleet.ModelVersion) (ModelInfo, bool) {
	index, found := s.modelIndex[model]
	if !found {
		return ModelInfo{}, false
	}
	return s.models[index], true
}

// Adapters returns all declared adapters, ordered by name.
func (s *Snapshot) Adapters() []AdapterInfo {
	return s.adapters
}

// Adapter returns one adapter.
func (s *Snapshot) Adapter(name fleet.AdapterName) (AdapterInfo, bool) {
	index, found := s.adapterIndex[name]
	if !found {
		return AdapterInfo{}, false
	}
	return s.adapters[index], true
}

// Deployments returns all deployments, ordered by name.
func (s *Snapshot) Deployments() []DeploymentInfo {
	return s.deployments
}

// ModelNames returns, in order, the names that callers may use as model.
func (s *Snapshot) ModelNames() []string {
	return s.modelNames
}

// Services returns all services, ordered by name.
func (s *Snapshot) Services() []ServiceInfo {
	infos := make([]ServiceInfo, 0, len(s.services))
	for _, declared := range s.services {
		infos = append(infos, ServiceInfo{Name: declared.name, PathPrefix: declared.PathPrefix})
	}
	slices.SortFunc(infos, func(a, b ServiceInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}

// Preferences returns the weight of the cold-start tail against idle accelerator hours.
func (s *Snapshot) Preferences() spec.Preferences {
	return s.preferences
}

// Evacuations returns the zones that are out of service as of the snapshot.
func (s *Snapshot) Evacuations() evacuation.Snapshot {
	return evacuation.Snapshot{Zones: s.evacuated, Position: storepos.At(0, int64(s.version))}
}

// IsEvacuated reports whether the zone is out of service.
func (s *Snapshot) IsEvacuated(zone fleet.Zone) bool {
	return slices.Contains(s.evacuated, string(zone))
}

// Topology returns the region of each zone.
func (s *Snapshot) Topology() locality.Map {
	return s.topology
}

// SelectorRegions returns the regions in which a selector's requests may run; ok is false
// if the selector does not exist.
func (s *Snapshot) SelectorRegions(name string) (regions locality.Regions, ok bool) {
	index, ok := s.selectorIndex[name]
	if !ok {
		return regions, false
	}
	return s.selectors[index].regions, true
}

// ServiceRegions returns the regions in which a service's calls may run; ok is false if
// the service does not exist.
func (s *Snapshot) ServiceRegions(name string) (regions locality.Regions, ok bool) {
	for index := range s.services {
		if s.services[index].name == name {
			return s.services[index].regions, true
		}
	}
	return regions, false
}

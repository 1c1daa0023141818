package catalog

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// ModelRoute says how a request for a model is to be treated.
type ModelRoute struct {
	// Selector is the declared selector that matched, empty when the request
	// named a deployment itself.
	Selector   string
	Deployment fleet.DeploymentName
	Adapter    fleet.AdapterName
	// Versions are the model versions to choose from, by weight.
	Versions []WeightedModel
	Priority int
	// Deadline bounds the time until the first token.
	Deadline time.Duration
	Limits   spec.Limits
	// ContextTokens bounds prompt and answer together; 0 is without bound.
	ContextTokens int
	// Regions are those in which the request may run.
	Regions locality.Regions
	// Tenant is who asks; empty where none is declared.
	Tenant string
}

// WeightedModel is one version with its share of the traffic.
type WeightedModel struct {
	Model  fleet.ModelVersion
	Weight int
}

// ServiceRoute says how a plain call is to be treated.
type ServiceRoute struct {
	Service    string
	PathPrefix string
	// Repeatable holds whether the call's method may be sent twice.
	Repeatable bool
	Deadline   time.Duration
	KeyWindow  time.Duration
	Limits     spec.Limits
	// Regions are those in which the call may run.
	Regions locality.Regions
	// Tenant is who asks; empty where none is declared.
	Tenant string
}

// ModelInfo is what placement needs to know of one model version.
type ModelInfo struct {
	Model           fleet.ModelVersion
	MemoryBytes     int64
	CheckpointBytes int64
	MinReplicas     int
	MaxReplicas     int
	// StandingReplicas is the largest standing capacity that names it.
	StandingReplicas int
	// Priority is the largest priority of the selectors that lead to it.
	Priority int
}

// AdapterInfo is what placement needs to know of one adapter.
type AdapterInfo struct {
	Adapter     fleet.AdapterName
	Model       string
	MemoryBytes int64
}

// DefaultModelDeadline bounds the time until the first token where no
// selector says otherwise.
const DefaultModelDeadline = 30 * time.Second

const (
	// modelLabel is the request label that carries the body's model field.
	modelLabel = "model"

	defaultServiceDeadline = 5 * time.Second
	defaultKeyWindow       = 10 * time.Minute
)

// ModelRoute returns how a request with these labels is treated. The first
// matching selector decides: where it leads to no deployment there is no
// route. Where no selector matches, the label "model" may name a deployment.
func (s *Snapshot) ModelRoute(labels map[string]string) (ModelRoute, bool) {
	named, hasNamed := s.deploymentIndex[labels[modelLabel]]
	if chosen := s.firstMatching(labels); chosen != nil {
		return s.selectedRoute(chosen, named, hasNamed)
	}
	if !hasNamed {
		return ModelRoute{}, false
	}
	route := s.routeTo(named)
	route.Deadline = DefaultModelDeadline
	return route, true
}

// firstMatching looks only at selectors that are filed under one of the labels.
func (s *Snapshot) firstMatching(labels map[string]string) *selector {
	first := s.firstOf(s.anySelectors, len(s.selectors), labels)
	for key, value := range labels {
		first = s.firstOf(s.selectorsByLabel[labelPair{key: key, value: value}], first, labels)
	}
	if first == len(s.selectors) {
		return nil
	}
	return &s.selectors[first]
}

// firstOf returns the first matching candidate before the limit, or the limit.
func (s *Snapshot) firstOf(candidates []int, limit int, labels map[string]string) int {
	for _, index := range candidates {
		if index >= limit {
			return limit
		}
		if s.selectors[index].Match.Matches(labels) {
			return index
		}
	}
	return limit
}

// selectedRoute prefers the deployment that the request names, and takes the
// first by name otherwise, so that all nodes choose alike.
func (s *Snapshot) selectedRoute(chosen *selector, named int, hasNamed bool) (ModelRoute, bool) {
	if len(chosen.targets) == 0 {
		return ModelRoute{}, false
	}
	target := chosen.targets[0]
	if hasNamed {
		if _, found := slices.BinarySearch(chosen.targets, named); found {
			target = named
		}
	}
	route := s.routeTo(target)
	route.Selector = chosen.name
	route.Priority = chosen.Priority
	route.Deadline = chosen.deadline
	route.Limits = chosen.Limits
	route.Regions = chosen.regions
	return route, true
}

func (s *Snapshot) routeTo(index int) ModelRoute {
	target := &s.deployments[index]
	return ModelRoute{
		Deployment:    target.Name,
		Adapter:       target.Adapter,
		Versions:      target.Versions,
		ContextTokens: target.ContextTokens,
	}
}

// ServiceRoute returns how a plain call is treated: the service with the
// longest prefix of the path takes it.
func (s *Snapshot) ServiceRoute(method, path string) (ServiceRoute, bool) {
	for index := range s.services {
		candidate := &s.services[index]
		if !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		return ServiceRoute{
			Service:    candidate.name,
			PathPrefix: candidate.PathPrefix,
			Repeatable: candidate.repeatable(method),
			Deadline:   candidate.deadline,
			KeyWindow:  candidate.keyWindow,
			Limits:     candidate.Limits,
			Regions:    candidate.regions,
		}, true
	}
	return ServiceRoute{}, false
}

func (s *service) repeatable(method string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(s.Repeatable, func(declared string) bool {
		return strings.EqualFold(declared, method)
	})
}

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

// ModelRoute describes how to handle a request for a model.
type ModelRoute struct {
	// Selector is the selector that matched; empty where the request itself named a
	// deployment.
	Selector   string
	Deployment fleet.DeploymentName
	Adapter    fleet.AdapterName
	// Versions are the model versions to choose from by weight.
	Versions []WeightedModel
	Priority int
	// Deadline bounds the time until the first token.
	Deadline time.Duration
	Limits   spec.Limits
	// ContextTokens bounds the sum of prompt and output tokens; 0 is no bound.
	ContextTokens int
	// Regions are the regions in which the request may run.
	Regions locality.Regions
	// Tenant is who asks; empty where none is declared.
	Tenant string
}

// WeightedModel is one version with its share of the traffic.
type WeightedModel struct {
	Model  fleet.ModelVersion
	Weight int
}

// ServiceRoute describes how to handle a call to a service.
type ServiceRoute struct {
	Service    string
	PathPrefix string
	// Repeatable reports whether a call with this method may be sent more than once.
	Repeatable bool
	Deadline   time.Duration
	KeyWindow  time.Duration
	Limits     spec.Limits
	// Regions are the regions in which the call may run.
	Regions locality.Regions
	// Tenant is who asks; empty where none is declared.
	Tenant string
}

// ModelInfo describes one model version for placement.
type ModelInfo struct {
	Model           fleet.ModelVersion
	MemoryBytes     int64
	CheckpointBytes int64
	MinReplicas     int
	MaxReplicas     int
	// StandingReplicas is the largest standing capacity declared for it.
	StandingReplicas int
	// Priority is the highest priority of the selectors that route to it.
	Priority int
}

// AdapterInfo describes one adapter for placement.
type AdapterInfo struct {
	Adapter     fleet.AdapterName
	Model       string
	MemoryBytes int64
}

// DefaultModelDeadline bounds the time until the first token where no selector sets
// a deadline.
const DefaultModelDeadline = 30 * time.Second

const (
	// modelLabel is the request label with the value of the body's model field.
	modelLabel = "model"

	defaultServiceDeadline = 5 * time.Second
	defaultKeyWindow       = 10 * time.Minute
)

// ModelRoute returns the route of a request with these labels. The first matching
// selector decides; if it matches no deployment, there is no route. If no selector
// matches, the label "model" may name a deployment.
func (s *Snapshot) ModelRoute(labels map[string]string) (ModelRoute, bool) {
	namedIndex, hasNamed := s.deploymentIndex[labels[modelLabel]]
	if chosen := s.firstMatching(labels); chosen != nil {
		return s.routeBySelector(chosen, namedIndex, hasNamed)
	}
	if !hasNamed {
		return ModelRoute{}, false
	}
	route := s.routeTo(namedIndex)
	route.Deadline = DefaultModelDeadline
	return route, true
}

// firstMatching returns the first selector that matches the labels. It evaluates only selectors
// that are indexed under one of them or require none.
func (s *Snapshot) firstMatching(labels map[string]string) *selector {
	first := s.firstMatchBefore(s.unlabeledSelectors, len(s.selectors), labels)
	for key, value := range labels {
		first = s.firstMatchBefore(s.selectorsByLabel[labelPair{key: key, value: value}], first, labels)
	}
	if first == len(s.selectors) {
		return nil
	}
	return &s.selectors[first]
}

// firstMatchBefore returns the first matching candidate with an index below the limit, or the
// limit.
func (s *Snapshot) firstMatchBefore(candidates []int, limit int, labels map[string]string) int {
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

// routeBySelector prefers the deployment that the request names and otherwise uses the
// first by name, so that all nodes choose the same.
func (s *Snapshot) routeBySelector(chosen *selector, namedIndex int, hasNamed bool) (ModelRoute, bool) {
	if len(chosen.targets) == 0 {
		return ModelRoute{}, false
	}
	target := chosen.targets[0]
	if hasNamed {
		if _, found := slices.BinarySearch(chosen.targets, namedIndex); found {
			target = namedIndex
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

// ServiceRoute returns the route of a call to a service: that of the service with the
// longest matching path prefix.
func (s *Snapshot) ServiceRoute(method, path string) (ServiceRoute, bool) {
	for index := range s.services {
		candidate := &s.services[index]
		if !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		return ServiceRoute{
			Service:    candidate.name,
			PathPrefix: candidate.PathPrefix,
			Repeatable: candidate.isRepeatable(method),
			Deadline:   candidate.deadline,
			KeyWindow:  candidate.keyWindow,
			Limits:     candidate.Limits,
			Regions:    candidate.regions,
		}, true
	}
	return ServiceRoute{}, false
}

// isRepeatable reports whether a call with the method may be sent more than once.
func (s *service) isRepeatable(method string) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return slices.ContainsFunc(s.Repeatable, func(declared string) bool {
		return strings.EqualFold(declared, method)
	})
}

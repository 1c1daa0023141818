package load

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const (
	// modelLabel is the request label that carries the body's model field.
	modelLabel = "model"
	// anyModel names no deployment: the request's labels are to decide.
	anyModel = "any"
)

// Defaults that the declarations leave out; see package spec.
const (
	defaultModelDeadline   = 30 * time.Second
	defaultServiceDeadline = 5 * time.Second
)

// Class is a sort of traffic that the declared objects allow.
type Class struct {
	Name string
	// Model is the model field of the body, empty for a plain call.
	Model string
	// Labels go into the header of request labels.
	Labels map[string]string
	// PathPrefix is a service's path, empty for a model.
	PathPrefix string
	Deadline   time.Duration
	// Targets are what may answer.
	Targets []history.Target
	// Standing is set if replicas are kept ready, so that no request is cold.
	Standing bool
}

// sharesModel reports whether one of the models may answer the class.
func (c Class) sharesModel(models map[fleet.ModelVersion]bool) bool {
	return slices.ContainsFunc(c.Targets, func(target history.Target) bool { return models[target.Model] })
}

// Classes are the sorts of traffic, models and services apart.
type Classes struct {
	Models   []Class
	Services []Class
}

// ReadClasses derives the traffic from declared objects: one class for each
// deployment by its name, one for each selector with the labels it asks for,
// one for each service.
func ReadClasses(objects []objectstore.Object) (Classes, error) {
	read, err := readDeclared(objects)
	if err != nil {
		return Classes{}, err
	}
	var classes Classes
	for _, deployment := range read.deployments {
		labels := map[string]string{modelLabel: deployment.name}
		classes.Models = append(classes.Models, read.modelClass("deployment/"+deployment.name, labels))
	}
	for _, selector := range read.selectors {
		classes.Models = append(classes.Models, read.modelClass("selector/"+selector.name, labelsFor(selector.spec.Match)))
	}
	for _, service := range read.services {
		classes.Services = append(classes.Services, Class{
			Name: "service/" + service.name, PathPrefix: service.spec.PathPrefix,
			Deadline: cmp.Or(time.Duration(service.spec.Deadline), defaultServiceDeadline),
		})
	}
	classes.Models = slices.DeleteFunc(classes.Models, func(class Class) bool { return len(class.Targets) == 0 })
	byName := func(a, b Class) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(classes.Models, byName)
	slices.SortFunc(classes.Services, byName)
	return classes, nil
}

// labelsFor are request labels that the conditions match.
func labelsFor(selector spec.LabelSelector) map[string]string {
	labels := map[string]string{modelLabel: anyModel}
	maps.Copy(labels, selector.MatchLabels)
	for _, requirement := range selector.MatchExpressions {
		switch requirement.Operator {
		case spec.OperatorIn:
			if len(requirement.Values) > 0 {
				labels[requirement.Key] = requirement.Values[0]
			}
		case spec.OperatorExists:
			labels[requirement.Key] = "any"
		}
	}
	return labels
}

// labelHeader writes labels as "k=v,k=v" in the order of their keys.
func labelHeader(labels map[string]string) string {
	parts := make([]string, 0, len(labels))
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ",")
}

// Call is one request to send.
type Call struct {
	// At is the time of sending from the start of the run.
	At     time.Duration
	Phase  string
	Node   string
	Kind   history.Kind
	Class  Class
	Method string
	Path   string
	Key    string
	Prompt string
	// Body is what a plain call sends.
	Body      string
	MaxTokens int
}

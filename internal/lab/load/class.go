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
	// modelLabel is the request label that stands for the body's model field.
	modelLabel = "model"
	// anyModel names no deployment, so that the request's labels select one.
	anyModel = "any"
)

// Deadlines that apply if the declarations have none; see package spec.
const (
	defaultModelDeadline   = 30 * time.Second
	defaultServiceDeadline = 5 * time.Second
)

// Class is a class of traffic that the declared objects allow.
type Class struct {
	Name string
	// Model is the model field of the body. It is empty for service calls.
	Model string
	// Labels are sent in the request labels header.
	Labels map[string]string
	// PathPrefix is the service's path prefix. It is empty for models.
	PathPrefix string
	Deadline   time.Duration
	// Targets are the model versions that may answer.
	Targets []history.Target
	// Standing is set if replicas are always kept ready, so that no request
	// waits for a model load.
	Standing bool
}

// sharesModel reports whether any of the models may answer the class.
func (c Class) sharesModel(models map[fleet.ModelVersion]bool) bool {
	return slices.ContainsFunc(c.Targets, func(target history.Target) bool { return models[target.Model] })
}

// Classes are the traffic classes of models and of services.
type Classes struct {
	Models   []Class
	Services []Class
}

// ReadClasses derives the traffic classes from the declared objects: one for
// each deployment, requested by name; one for each selector, requested with
// matching labels; and one for each service. Classes of models without a target
// are left out.
func ReadClasses(objects []objectstore.Object) (Classes, error) {
	declared, err := readDeclarations(objects)
	if err != nil {
		return Classes{}, err
	}
	var classes Classes
	for _, deployment := range declared.deployments {
		labels := map[string]string{modelLabel: deployment.name}
		classes.Models = append(classes.Models, declared.modelClass("deployment/"+deployment.name, labels))
	}
	for _, selector := range declared.selectors {
		classes.Models = append(classes.Models, declared.modelClass("selector/"+selector.name, labelsFor(selector.spec.Match)))
	}
	for _, service := range declared.services {
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

// labelsFor returns request labels that satisfy the selector's conditions.
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

// labelHeader formats labels as "k=v,k=v", sorted by key.
func labelHeader(labels map[string]string) string {
	parts := make([]string, 0, len(labels))
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, key+"="+labels[key])
	}
	return strings.Join(parts, ",")
}

// Call is one request to send.
type Call struct {
	// At is the time of sending, relative to the start of the run.
	At     time.Duration
	Phase  string
	Node   string
	Kind   history.Kind
	Class  Class
	Method string
	Path   string
	Key    string
	Prompt string
	// Body is the request body of a service call.
	Body      string
	MaxTokens int
}

package spec

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const (
	maxNameBytes = 63
	// callerPrefix is where callers reach models; no service may take it.
	callerPrefix = "/v1/"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	labelPattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+/$`)
)

// checker looks at each object and at what objects say of each other.
type checker struct {
	set      Set
	options  Options
	findings Findings
}

func check(set Set, options Options) Findings {
	checker := &checker{set: set, options: options}
	checker.names()
	for _, object := range set.objects {
		checker.object(object)
	}
	checker.pathPrefixes()
	checker.preferencesOnce()
	checker.ambiguousSelectors()
	return checker.findings
}

func (c *checker) report(object *Object, path, problem, remedy string) {
	c.findings = append(c.findings, Finding{Position: object.Place(path), Problem: problem, Remedy: remedy})
}

// names checks each name's form and that it is declared once in its kind.
func (c *checker) names() {
	first := make(map[reference]*Object)
	for _, object := range c.set.objects {
		name := object.Metadata.Name
		c.name(object, "metadata.name", "metadata.name", name)
		for key, value := range object.Metadata.Labels {
			c.label(object, "metadata.labels."+key, key, value)
		}
		if name == "" {
			continue
		}
		key := reference{object.Kind, name}
		if earlier, found := first[key]; found {
			c.report(object, "metadata.name", object.Title()+" is declared twice",
				fmt.Sprintf("rename or remove one; the first is at %s", earlier.Place("metadata.name")))
			continue
		}
		first[key] = object
	}
}

func (c *checker) name(object *Object, path, field, name string) {
	switch {
	case name == "" && !object.written(path):
		c.report(object, path, field+" is missing", "give a name such as nordlys-7b")
	case len(name) > maxNameBytes || !namePattern.MatchString(name):
		c.report(object, path, fmt.Sprintf("%s %q is no name", field, name),
			fmt.Sprintf("take 1 to %d of a-z, 0-9, '-' and '.', with a letter or digit at both ends", maxNameBytes))
	}
}

// ValidLabel reports whether the text can be a label's key or value.
func ValidLabel(text string) bool {
	return len(text) <= maxNameBytes && labelPattern.MatchString(text)
}

func (c *checker) label(object *Object, path, key, value string) {
	for _, text := range []string{key, value} {
		if !ValidLabel(text) {
			c.report(object, path, fmt.Sprintf("label text %q cannot be sent in a header", text),
				fmt.Sprintf("take 1 to %d letters, digits and ._-/ with a letter or digit at both ends", maxNameBytes))
		}
	}
}

// written reports whether the document holds the field.
func (o *Object) written(path string) bool {
	_, found := o.places[path]
	return found
}

// required reports a field that is not written. Written fields of a wrong
// type were reported when they were read.
func (c *checker) required(object *Object, path, remedy string) bool {
	if object.written(path) {
		return true
	}
	c.report(object, path, path+" is missing", remedy)
	return false
}

func (c *checker) object(object *Object) {
	if !object.written("spec") {
		return
	}
	switch declared := object.Spec.(type) {
	case *Model:
		c.model(object, declared)
	case *Adapter:
		c.adapter(object, declared)
	case *Deployment:
		c.deployment(object, declared)
	case *Selector:
		c.selector(object, declared)
	case *Service:
		c.service(object, declared)
	case *Capacity:
		c.capacity(object, declared)
	case *Preferences:
		c.preferences(object, declared)
	}
}

func (c *checker) model(object *Object, model *Model) {
	if c.required(object, "spec.versions", "give at least one version") && len(model.Versions) == 0 {
		c.report(object, "spec.versions", "spec.versions is empty", "give at least one version")
	}
	seen := make(map[string]bool)
	for index, version := range model.Versions {
		path := fmt.Sprintf("spec.versions[%d]", index)
		c.name(object, path+".name", path+".name", version.Name)
		if version.Name != "" && seen[version.Name] {
			c.report(object, path+".name", fmt.Sprintf("version %q stands twice", version.Name), "rename or remove one")
		}
		seen[version.Name] = true
		c.size(object, path+".memory", version.Memory)
		c.size(object, path+".checkpoint", version.Checkpoint)
		c.fits(object, path+".memory", version.Memory)
	}
	if model.ContextTokens < 0 {
		c.report(object, "spec.contextTokens", "spec.contextTokens is below 0", "give the tokens of prompt and answer together, or leave it out for no bound")
	}
	c.bounds(object, model.Replicas)
}

func (c *checker) bounds(object *Object, bounds ReplicaBounds) {
	if bounds.Min < 0 {
		c.report(object, "spec.replicas.min", "spec.replicas.min is below 0", "give 0 or more")
	}
	if bounds.Max < 0 {
		c.report(object, "spec.replicas.max", "spec.replicas.max is below 0", "give 1 or more, or leave it out for 1")
	}
	if most := max(bounds.Max, 1); bounds.Max >= 0 && bounds.Min > most {
		c.report(object, "spec.replicas.min", fmt.Sprintf("spec.replicas.min is %d, above max, which is %d", bounds.Min, most), "raise max or lower min")
	}
}

func (c *checker) size(object *Object, path string, size Bytes) {
	if c.required(object, path, "give a size such as 14GiB") && size == 0 && !c.reportedAt(object, path) {
		c.report(object, path, path+" is 0", "give a size such as 14GiB")
	}
}

// reportedAt reports whether the value was found unreadable already; such a
// value is left at zero and must not be reported as zero too.
func (c *checker) reportedAt(object *Object, path string) bool {
	return object.faulty[object.Place(path)]
}

func (c *checker) fits(object *Object, path string, memory Bytes) {
	if c.options.ServerMemory > 0 && memory > c.options.ServerMemory {
		c.report(object, path, fmt.Sprintf("%s of memory fits no server", memory),
			fmt.Sprintf("the largest server has %s", c.options.ServerMemory))
	}
}

func (c *checker) adapter(object *Object, adapter *Adapter) {
	c.size(object, "spec.memory", adapter.Memory)
	model := c.modelOf(object, adapter.Model)
	if model == nil {
		c.fits(object, "spec.memory", adapter.Memory)
		return
	}
	for _, version := range model.Versions {
		if version.Memory <= c.options.ServerMemory {
			c.fits(object, "spec.memory", version.Memory+adapter.Memory)
		}
	}
}

// modelOf resolves spec.model and reports when it does not resolve.
func (c *checker) modelOf(object *Object, name string) *Model {
	if !c.required(object, "spec.model", "name a declared Model") {
		return nil
	}
	found := c.resolve(object, "spec.model", KindModel, name)
	if found == nil {
		return nil
	}
	return found.Spec.(*Model)
}

func (c *checker) resolve(object *Object, path string, kind Kind, name string) *Object {
	found := c.set.find(kind, name)
	if found == nil && !c.set.unread[reference{kind, name}] && !c.reportedAt(object, path) {
		c.report(object, path, fmt.Sprintf("%s names %s %q, which is not declared", path, kind, name),
			"declared are: "+c.set.names(kind))
	}
	return found
}

func (c *checker) deployment(object *Object, deployment *Deployment) {
	model := c.modelOf(object, deployment.Model)
	if object.written("spec.adapter") {
		c.deploymentAdapter(object, deployment)
	}
	if c.required(object, "spec.versions", "give at least one version with a weight") && len(deployment.Versions) == 0 {
		c.report(object, "spec.versions", "spec.versions is empty", "give at least one version with a weight")
	}
	c.weights(object, deployment, model)
}

func (c *checker) deploymentAdapter(object *Object, deployment *Deployment) {
	found := c.resolve(object, "spec.adapter", KindAdapter, deployment.Adapter)
	if found == nil {
		return
	}
	if base := found.Spec.(*Adapter).Model; base != "" && deployment.Model != "" && base != deployment.Model {
		c.report(object, "spec.adapter", fmt.Sprintf("adapter %q belongs to model %q", deployment.Adapter, base),
			fmt.Sprintf("take an adapter of %q or change spec.model", deployment.Model))
	}
}

func (c *checker) weights(object *Object, deployment *Deployment, model *Model) {
	sum, seen := 0, make(map[string]bool)
	faulty := false
	for index, version := range deployment.Versions {
		path := fmt.Sprintf("spec.versions[%d]", index)
		sum += max(version.Weight, 0)
		if version.Weight < 0 {
			faulty = true
			c.report(object, path+".weight", fmt.Sprintf("%s.weight is below 0", path), "give 0 or more")
		}
		if !c.required(object, path+".weight", "give the share of the traffic, such as 100") || c.reportedAt(object, path+".weight") {
			faulty = true
		}
		if !c.required(object, path+".name", "name a version of the model") {
			continue
		}
		if seen[version.Name] {
			c.report(object, path+".name", fmt.Sprintf("version %q stands twice", version.Name), "keep one, with the sum of the weights")
		}
		seen[version.Name] = true
		c.versionOf(object, path+".name", version.Name, deployment.Model, model)
	}
	if len(deployment.Versions) > 0 && sum == 0 && !faulty {
		c.report(object, "spec.versions", "all weights are 0, so no version takes requests", "give at least one weight above 0")
	}
}

func (c *checker) versionOf(object *Object, path, version, modelName string, model *Model) {
	if model == nil || c.reportedAt(object, path) {
		return
	}
	var known []string
	for _, candidate := range model.Versions {
		known = append(known, candidate.Name)
	}
	if !slices.Contains(known, version) {
		c.report(object, path, fmt.Sprintf("model %q has no version %q", modelName, version), "it has: "+strings.Join(known, ", "))
	}
}

func (c *checker) service(object *Object, service *Service) {
	if c.required(object, "spec.pathPrefix", "give a prefix such as /turbines/") && !c.reportedAt(object, "spec.pathPrefix") {
		switch {
		case !prefixPattern.MatchString(service.PathPrefix):
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q is no path prefix", service.PathPrefix), "begin and end it with a slash, such as /turbines/")
		case strings.HasPrefix(service.PathPrefix, callerPrefix):
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q lies under %s, where models are reached", service.PathPrefix, callerPrefix), "take another prefix")
		}
	}
	for index, method := range service.Repeatable {
		path := fmt.Sprintf("spec.repeatable[%d]", index)
		if !slices.Contains(repeatableMethods, method) {
			c.report(object, path, fmt.Sprintf("%q is no method to declare repeatable", method), "give one of "+strings.Join(repeatableMethods, ", ")+"; GET and HEAD are repeatable anyway")
		}
	}
	c.span(object, "spec.deadline", service.Deadline)
	c.span(object, "spec.keyWindow", service.KeyWindow)
	c.limits(object, service.Limits)
}

// repeatableMethods are those that a service may add to GET and HEAD.
var repeatableMethods = []string{"DELETE", "OPTIONS", "PATCH", "POST", "PUT"}

func (c *checker) span(object *Object, path string, span Duration) {
	if object.written(path) && span <= 0 && !c.reportedAt(object, path) {
		c.report(object, path, fmt.Sprintf("%s is %s", path, span), "give a time span above 0, or leave it out for the default")
	}
}

func (c *checker) limits(object *Object, limits Limits) {
	if limits.RequestsPerSecond < 0 {
		c.report(object, "spec.limits.requestsPerSecond", "spec.limits.requestsPerSecond is below 0", "give a rate above 0, or leave it out for no limit")
	}
	if limits.Concurrency < 0 {
		c.report(object, "spec.limits.concurrency", "spec.limits.concurrency is below 0", "give a count above 0, or leave it out for no limit")
	}
}

func (c *checker) preferences(object *Object, preferences *Preferences) {
	if !c.required(object, "spec.coldStartWeight", "give a weight from 0 to 1") {
		return
	}
	if weight := preferences.ColdStartWeight; weight < 0 || weight > 1 {
		c.report(object, "spec.coldStartWeight", fmt.Sprintf("spec.coldStartWeight is %v", weight), "give a weight from 0 (only idle hours count) to 1 (only the cold-start tail counts)")
	}
}

func (c *checker) preferencesOnce() {
	for index, object := range c.set.byKind(KindPreferences) {
		if index > 0 {
			c.report(object, "", object.Title()+" is a second Preferences", "keep one object of this kind")
		}
	}
}

// pathPrefixes reports services that could take the same path.
func (c *checker) pathPrefixes() {
	services := c.set.byKind(KindService)
	for index, object := range services {
		prefix := object.Spec.(*Service).PathPrefix
		for _, earlier := range services[:index] {
			other := earlier.Spec.(*Service).PathPrefix
			if prefix == "" || other == "" || !(strings.HasPrefix(prefix, other) || strings.HasPrefix(other, prefix)) {
				continue
			}
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q and %q of %s hold the same paths", prefix, other, earlier.Title()),
				fmt.Sprintf("take prefixes of which neither begins with the other; the other is at %s", earlier.Place("spec.pathPrefix")))
		}
	}
}

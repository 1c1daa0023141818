package spec

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const (
	maxNameBytes = 63
	// callerPrefix is the path prefix of the model API; no service may use it.
	callerPrefix = "/v1/"
	// reservedLabelPrefix is the prefix of labels that the operators' commands write.
	reservedLabelPrefix = "spanlanding."
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	labelPattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+/$`)
)

// checker checks each object and the references between objects.
type checker struct {
	set      *Set
	index    index
	options  Options
	findings Findings
}

func check(set *Set, options Options) Findings {
	checker := &checker{set: set, index: newIndex(set.objects), options: options}
	checker.names()
	for _, object := range set.objects {
		checker.object(object)
	}
	checker.disjointPathPrefixes()
	checker.singlePreferences()
	checker.uniqueZones()
	checker.uniqueKeys()
	checker.ambiguousSelectors()
	return checker.findings
}

func (c *checker) report(object *Object, path, problem, remedy string) {
	c.findings = append(c.findings, Finding{Position: object.Place(path), Problem: problem, Remedy: remedy})
}

// names checks the form of each name and that it is unique within its kind.
func (c *checker) names() {
	for _, object := range c.set.objects {
		name := object.Metadata.Name
		if object.isSet("metadata") {
			c.name(object, "metadata.name", name)
		}
		for key, value := range object.Metadata.Labels {
			c.label(object, "metadata.labels."+key, key, value)
			c.reservedLabel(object, key)
		}
		if earlier := c.index.find(object.Kind, name); earlier != object && name != "" {
			c.report(object, "metadata.name", object.Title()+" is declared twice",
				fmt.Sprintf("rename or remove one; the first is at %s", earlier.Place("metadata.name")))
		}
	}
}

// reservedLabel reports labels that only apply may write.
func (c *checker) reservedLabel(object *Object, key string) {
	if strings.HasPrefix(key, reservedLabelPrefix) {
		c.report(object, "metadata.labels."+key, fmt.Sprintf("label %q begins with %s, which apply keeps for itself", key, reservedLabelPrefix), "take another key")
	}
}

func (c *checker) name(object *Object, path, name string) {
	if !c.required(object, path, "give a name such as nordlys-7b") || c.isInvalid(object, path) {
		return
	}
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		c.report(object, path, fmt.Sprintf("%s %q is no name", path, name),
			fmt.Sprintf("take 1 to %d of a-z, 0-9, '-' and '.', with a letter or digit at both ends", maxNameBytes))
	}
}

// ValidLabel reports whether the text is valid as a label's key or value.
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

// isSet reports whether the document contains the field.
func (o *Object) isSet(path string) bool {
	_, found := o.positions[path]
	return found
}

// required reports a missing field and returns whether it is set. Fields of a wrong type
// were reported when they were decoded.
func (c *checker) required(object *Object, path, remedy string) bool {
	if object.isSet(path) {
		return true
	}
	c.report(object, path, path+" is missing", remedy)
	return false
}

func (c *checker) object(object *Object) {
	if !object.isSet("spec") {
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
	case *Evacuation:
		c.evacuation(object, declared)
	case *Region:
		c.region(object, declared)
	case *Tenant:
		c.tenant(object, declared)
	}
}

func (c *checker) model(object *Object, model *Model) {
	if c.required(object, "spec.versions", "give at least one version") && len(model.Versions) == 0 {
		c.report(object, "spec.versions", "spec.versions is empty", "give at least one version")
	}
	seen := make(map[string]bool)
	for index, version := range model.Versions {
		path := fmt.Sprintf("spec.versions[%d]", index)
		c.name(object, path+".name", version.Name)
		if version.Name != "" && seen[version.Name] {
			c.report(object, path+".name", fmt.Sprintf("version %q stands twice", version.Name), "rename or remove one")
		}
		seen[version.Name] = true
		c.size(object, path+".memory", version.Memory)
		c.size(object, path+".checkpoint", version.Checkpoint)
		c.fitsServer(object, path+".memory", "the version", version.Memory)
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
	if maximum := max(bounds.Max, 1); bounds.Max >= 0 && bounds.Min > maximum {
		c.report(object, "spec.replicas.min", fmt.Sprintf("spec.replicas.min is %d, above max, which is %d", bounds.Min, maximum), "raise max or lower min")
	}
}

func (c *checker) size(object *Object, path string, size Bytes) {
	if c.required(object, path, "give a size such as 14GiB") && size == 0 && !c.isInvalid(object, path) {
		c.report(object, path, path+" is 0", "give a size such as 14GiB")
	}
}

// isInvalid reports whether decoding already reported the value; it is then left at
// zero and must not be reported as zero as well.
func (c *checker) isInvalid(object *Object, path string) bool {
	return object.invalid[path]
}

func (c *checker) fitsServer(object *Object, path, what string, memory Bytes) {
	if c.options.ServerMemory > 0 && memory > c.options.ServerMemory {
		c.report(object, path, fmt.Sprintf("%s takes %s, which fits no server", what, memory),
			fmt.Sprintf("the largest server has %s", c.options.ServerMemory))
	}
}

func (c *checker) adapter(object *Object, adapter *Adapter) {
	c.size(object, "spec.memory", adapter.Memory)
	c.fitsServer(object, "spec.memory", "the adapter alone", adapter.Memory)
	model := c.modelOf(object, adapter.Model)
	if model == nil || adapter.Memory > c.options.ServerMemory {
		return
	}
	for _, version := range model.Versions {
		// A version that is too large without the adapter is reported at the model.
		if version.Memory <= c.options.ServerMemory {
			c.fitsServer(object, "spec.memory", fmt.Sprintf("the adapter with %s@%s", adapter.Model, version.Name), version.Memory+adapter.Memory)
		}
	}
}

// modelOf resolves spec.model and reports it if it is missing or not declared.
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
	found := c.index.find(kind, name)
	if found == nil && !c.set.unreadable[reference{kind, name}] && !c.isInvalid(object, path) {
		c.report(object, path, fmt.Sprintf("%s names %s %q, which is not declared", path, kind, name),
			"declared are: "+c.index.names(kind))
	}
	return found
}

func (c *checker) deployment(object *Object, deployment *Deployment) {
	model := c.modelOf(object, deployment.Model)
	if object.isSet("spec.adapter") {
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
	invalid := false
	for index, version := range deployment.Versions {
		path := fmt.Sprintf("spec.versions[%d]", index)
		sum += max(version.Weight, 0)
		if version.Weight < 0 {
			invalid = true
			c.report(object, path+".weight", fmt.Sprintf("%s.weight is below 0", path), "give 0 or more")
		}
		if !c.required(object, path+".weight", "give the share of the traffic, such as 100") || c.isInvalid(object, path+".weight") {
			invalid = true
		}
		if !c.required(object, path+".name", "name a version of the model") {
			continue
		}
		if seen[version.Name] {
			c.report(object, path+".name", fmt.Sprintf("version %q stands twice", version.Name), "keep one, with the sum of the weights")
		}
		seen[version.Name] = true
		c.versionExists(object, path+".name", version.Name, deployment.Model, model)
	}
	if len(deployment.Versions) > 0 && sum == 0 && !invalid {
		c.report(object, "spec.versions", "all weights are 0, so no version takes requests", "give at least one weight above 0")
	}
}

func (c *checker) versionExists(object *Object, path, version, modelName string, model *Model) {
	if model == nil || c.isInvalid(object, path) {
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

package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// Problem is the reason why a declared object is not in the snapshot.
type Problem struct {
	Object  objectstore.Key
	Version uint64
	Reason  string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s/%s at version %d: %s", p.Object.Kind, p.Object.Name, p.Version, p.Reason)
}

// Compile compiles the declared objects of one store revision. It ignores tombstones and
// the system's own records. An object that cannot be decoded, or that refers to a missing
// one, is left out and reported as a Problem.
func Compile(version uint64, objects []objectstore.Object) (*Snapshot, []Problem) {
	compiler := NewCompiler()
	compiler.Apply(objects)
	return compiler.Snapshot(version)
}

// Compiler compiles snapshots incrementally: after a change, only the stages that depend
// on it are recompiled. It is not safe for concurrent use; its snapshots are.
type Compiler struct {
	kinds map[spec.Kind]*kindSet

	models      modelStage
	adapters    adapterStage
	deployments deploymentStage
}

// kindSet holds the decoded objects of one kind.
type kindSet struct {
	byName map[string]decodedObject
	// sorted is ordered by name; nil where it must be rebuilt.
	sorted []decodedObject
	// changed is set until the next snapshot.
	changed bool
}

// decodedObject is an object with its decoded spec. The value is immutable and may be
// shared by several snapshots.
type decodedObject struct {
	key     objectstore.Key
	version uint64
	labels  map[string]string
	value   any
	// reason is why the object is invalid; empty if it is valid.
	reason string
}

func (o decodedObject) problem(reason string) Problem {
	return Problem{Object: o.key, Version: o.version, Reason: reason}
}

// NewCompiler returns a compiler without objects.
func NewCompiler() *Compiler {
	kinds := make(map[spec.Kind]*kindSet)
	for _, kind := range spec.Kinds() {
		kinds[kind] = &kindSet{byName: make(map[string]decodedObject), changed: true}
	}
	return &Compiler{kinds: kinds}
}

// Apply adds new and changed objects, and removes deleted ones.
func (c *Compiler) Apply(objects []objectstore.Object) {
	for _, object := range objects {
		set, declared := c.kinds[spec.Kind(object.Kind)]
		if !declared {
			continue
		}
		if object.Deleted {
			set.remove(object.Name)
		} else {
			set.put(decode(object))
		}
	}
}

func (s *kindSet) put(object decodedObject) {
	name := object.key.Name
	_, known := s.byName[name]
	s.byName[name] = object
	s.changed = true
	if !known {
		s.sorted = nil
		return
	}
	if index, found := slices.BinarySearchFunc(s.sorted, name, compareName); found {
		s.sorted[index] = object
	}
}

func (s *kindSet) remove(name string) {
	if _, known := s.byName[name]; known {
		delete(s.byName, name)
		s.changed = true
		s.sorted = nil
	}
}

func compareName(object decodedObject, name string) int {
	return strings.Compare(object.key.Name, name)
}

// usable returns the valid objects ordered by name and adds the others to problems.
func (s *kindSet) usable(problems *[]Problem) []decodedObject {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.byName), func(a, b decodedObject) int {
			return strings.Compare(a.key.Name, b.key.Name)
		})
	}
	usable := make([]decodedObject, 0, len(s.sorted))
	for _, object := range s.sorted {
		if object.reason != "" {
			*problems = append(*problems, object.problem(object.reason))
			continue
		}
		usable = append(usable, object)
	}
	return usable
}

// Snapshot compiles the applied objects. The version is the store revision that they
// represent.
func (c *Compiler) Snapshot(version uint64) (*Snapshot, []Problem) {
	modelsChanged := c.takeChanged(spec.KindModel)
	adaptersChanged := c.takeChanged(spec.KindAdapter) || modelsChanged
	deploymentsChanged := c.takeChanged(spec.KindDeployment) || adaptersChanged
	if modelsChanged {
		c.models = compileModels(c.kinds[spec.KindModel])
	}
	if adaptersChanged {
		c.adapters = compileAdapters(c.kinds[spec.KindAdapter], c.models)
	}
	if deploymentsChanged {
		c.deployments = compileDeployments(c.kinds[spec.KindDeployment], c.models, c.adapters)
	}
	linker := newLinker(version, c.models, c.adapters, c.deployments)
	linker.linkSelectors(c.kinds[spec.KindSelector])
	linker.linkCapacities(c.kinds[spec.KindCapacity])
	linker.linkServices(c.kinds[spec.KindService])
	linker.linkPreferences(c.kinds[spec.KindPreferences])
	linker.linkTenants(c.kinds[spec.KindTenant])
	linker.linkRegions(c.kinds[spec.KindRegion])
	linker.linkEvacuations(c.kinds[spec.KindEvacuation])
	problems := slices.Concat(c.models.problems, c.adapters.problems, c.deployments.problems, linker.problems)
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.Object.Kind, b.Object.Kind), strings.Compare(a.Object.Name, b.Object.Name))
	})
	return linker.snapshot, problems
}

// takeChanged reports whether a kind changed since the last snapshot, and resets that.
func (c *Compiler) takeChanged(kind spec.Kind) bool {
	changed := c.kinds[kind].changed
	c.kinds[kind].changed = false
	return changed
}

func decode(object objectstore.Object) decodedObject {
	decoded := decodedObject{key: object.Key(), version: object.Version, labels: object.Labels}
	var err error
	switch spec.Kind(object.Kind) {
	case spec.KindModel:
		decoded.value, err = decodeSpec[spec.Model](object.Spec)
	case spec.KindAdapter:
		decoded.value, err = decodeSpec[spec.Adapter](object.Spec)
	case spec.KindDeployment:
		decoded.value, err = decodeSpec[spec.Deployment](object.Spec)
	case spec.KindSelector:
		decoded.value, err = decodeSpec[spec.Selector](object.Spec)
	case spec.KindService:
		decoded.value, err = decodeSpec[spec.Service](object.Spec)
	case spec.KindCapacity:
		decoded.value, err = decodeSpec[spec.Capacity](object.Spec)
	case spec.KindPreferences:
		decoded.value, err = decodeSpec[spec.Preferences](object.Spec)
	case spec.KindEvacuation:
		decoded.value, err = decodeSpec[spec.Evacuation](object.Spec)
	case spec.KindTenant:
		decoded.value, err = decodeSpec[spec.Tenant](object.Spec)
	case spec.KindRegion:
		decoded.value, err = decodeSpec[spec.Region](object.Spec)
	}
	if err != nil {
		decoded.reason = err.Error()
	} else {
		decoded.reason = validateBounds(decoded.value)
	}
	return decoded
}

func decodeSpec[T any](raw json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(raw, &value)
	return value, err
}

package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/platform"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const (
	defaultMaxReplicas     = 1
	defaultColdStartWeight = 0.5
)

// Problem tells why a declared object is not in the snapshot.
type Problem struct {
	Object  platform.Key
	Version uint64
	Reason  string
}

// String gives the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s/%s at version %d: %s", p.Object.Kind, p.Object.Name, p.Version, p.Reason)
}

type deployment struct {
	DeploymentInfo
}

type selector struct {
	name string
	spec.Selector
	deadline time.Duration
	// targets index the deployments that it leads to, in order of name.
	targets []int
}

type service struct {
	name string
	spec.Service
	deadline  time.Duration
	keyWindow time.Duration
}

// Compile decodes the declared objects of one store revision. Tombstones and
// the system's own records are passed over. An object that cannot be decoded,
// or that refers to one that is not there, becomes a Problem and is left out.
func Compile(version uint64, objects []platform.Object) (*Snapshot, []Problem) {
	return NewCompiler().Compile(version, objects)
}

// Compiler keeps the decoded objects of the last compilation, so that only
// changed objects are decoded again. It is not safe for concurrent use.
type Compiler struct {
	decoded map[platform.Key]decodedObject
}

// NewCompiler returns a compiler that has seen nothing.
func NewCompiler() *Compiler {
	return &Compiler{decoded: make(map[platform.Key]decodedObject)}
}

// decodedObject is one object with its decoded spec; the value is immutable
// and may be shared by several snapshots.
type decodedObject struct {
	version uint64
	name    string
	labels  map[string]string
	value   any
	reason  string
}

// Compile is like the function of that name.
func (c *Compiler) Compile(version uint64, objects []platform.Object) (*Snapshot, []Problem) {
	build := &builder{
		snapshot: &Snapshot{version: version, preferences: spec.Preferences{ColdStartWeight: defaultColdStartWeight}},
	}
	next := make(map[platform.Key]decodedObject, len(objects))
	for _, object := range objects {
		if object.Deleted || !declaredKind(object.Kind) {
			continue
		}
		key := object.Key()
		known, found := c.decoded[key]
		if !found || known.version != object.Version {
			known = decode(object)
		}
		next[key] = known
	}
	c.decoded = next
	build.take(next)
	build.link()
	return build.snapshot, build.problems
}

func declaredKind(kind string) bool {
	switch spec.Kind(kind) {
	case spec.KindModel, spec.KindAdapter, spec.KindDeployment, spec.KindSelector,
		spec.KindService, spec.KindCapacity, spec.KindPreferences:
		return true
	default:
		return false
	}
}

func decode(object platform.Object) decodedObject {
	decoded := decodedObject{version: object.Version, name: object.Name, labels: object.Labels}
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
	}
	if err != nil {
		decoded.reason = err.Error()
	}
	return decoded
}

func decodeSpec[T any](raw json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(raw, &value)
	return value, err
}

// builder fills one snapshot.
type builder struct {
	snapshot *Snapshot
	problems []Problem

	models     map[string]spec.Model
	capacities []spec.Capacity
	labelIndex map[labelPair][]int
}

func (b *builder) fail(key platform.Key, version uint64, reason string) {
	b.problems = append(b.problems, Problem{Object: key, Version: version, Reason: reason})
}

// take sorts the decoded objects by name within their kinds, those that
// others refer to first.
func (b *builder) take(decoded map[platform.Key]decodedObject) {
	byKind := make(map[string][]decodedObject)
	for key, object := range decoded {
		if object.reason != "" {
			b.fail(key, object.version, object.reason)
			continue
		}
		byKind[key.Kind] = append(byKind[key.Kind], object)
	}
	for _, objects := range byKind {
		slices.SortFunc(objects, func(a, c decodedObject) int { return strings.Compare(a.name, c.name) })
	}
	b.takeModels(byKind[string(spec.KindModel)])
	b.takeAdapters(byKind[string(spec.KindAdapter)])
	b.takeDeployments(byKind[string(spec.KindDeployment)])
	b.takeSelectors(byKind[string(spec.KindSelector)])
	b.takeServices(byKind[string(spec.KindService)])
	for _, object := range byKind[string(spec.KindCapacity)] {
		b.capacities = append(b.capacities, object.value.(spec.Capacity))
	}
	for _, object := range byKind[string(spec.KindPreferences)] {
		b.snapshot.preferences = object.value.(spec.Preferences)
	}
	slices.SortFunc(b.problems, compareProblems)
}

func compareProblems(a, c Problem) int {
	return cmp.Or(strings.Compare(a.Object.Kind, c.Object.Kind), strings.Compare(a.Object.Name, c.Object.Name))
}

func (b *builder) takeModels(objects []decodedObject) {
	b.models = make(map[string]spec.Model, len(objects))
	for _, object := range objects {
		model := object.value.(spec.Model)
		b.models[object.name] = model
		for _, version := range model.Versions {
			b.snapshot.models = append(b.snapshot.models, ModelFacts{
				Model:           fleet.ModelVersion{Model: object.name, Version: version.Name},
				MemoryBytes:     int64(version.Memory),
				CheckpointBytes: int64(version.Checkpoint),
				MinReplicas:     model.Replicas.Min,
				MaxReplicas:     cmp.Or(model.Replicas.Max, max(model.Replicas.Min, defaultMaxReplicas)),
			})
		}
	}
	slices.SortFunc(b.snapshot.models, func(a, c ModelFacts) int { return a.Model.Compare(c.Model) })
	b.snapshot.modelIndex = make(map[fleet.ModelVersion]int, len(b.snapshot.models))
	for index, facts := range b.snapshot.models {
		b.snapshot.modelIndex[facts.Model] = index
	}
}

func (b *builder) takeAdapters(objects []decodedObject) {
	b.snapshot.adapters = make([]AdapterFacts, 0, len(objects))
	b.snapshot.adapterIndex = make(map[fleet.AdapterName]int, len(objects))
	for _, object := range objects {
		adapter := object.value.(spec.Adapter)
		if _, found := b.models[adapter.Model]; !found {
			b.fail(platform.Key{Kind: string(spec.KindAdapter), Name: object.name}, object.version,
				fmt.Sprintf("model %q is not declared", adapter.Model))
			continue
		}
		name := fleet.AdapterName(object.name)
		b.snapshot.adapterIndex[name] = len(b.snapshot.adapters)
		b.snapshot.adapters = append(b.snapshot.adapters, AdapterFacts{
			Adapter:     name,
			Model:       adapter.Model,
			MemoryBytes: int64(adapter.Memory),
		})
	}
}

func (b *builder) takeServices(objects []decodedObject) {
	for _, object := range objects {
		declared := object.value.(spec.Service)
		if !strings.HasPrefix(declared.PathPrefix, "/") {
			b.fail(platform.Key{Kind: string(spec.KindService), Name: object.name}, object.version,
				fmt.Sprintf("path prefix %q does not begin with a slash", declared.PathPrefix))
			continue
		}
		b.snapshot.services = append(b.snapshot.services, service{
			name:      object.name,
			Service:   declared,
			deadline:  cmp.Or(time.Duration(declared.Deadline), defaultServiceDeadline),
			keyWindow: cmp.Or(time.Duration(declared.KeyWindow), defaultKeyWindow),
		})
	}
	slices.SortStableFunc(b.snapshot.services, func(a, c service) int {
		return cmp.Compare(len(c.PathPrefix), len(a.PathPrefix))
	})
}

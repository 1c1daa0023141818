package world

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const (
	modelCount = 6
	// modelVersion is the only version of each model.
	modelVersion    = "v1"
	modelMemory     = 24 * engine.GiB
	modelCheckpoint = 14 * engine.GiB
	maxReplicas     = 3
)

// seedDeclarations writes the initial declarations to the store.
func (w *World) seedDeclarations() {
	random := w.streams.Stream("declarations")
	for index := range modelCount {
		w.declare(modelObject(index, 1+random.IntN(maxReplicas)))
		w.declare(deploymentObject(index, "blue"))
		w.declare(selectorObject(index, 1))
	}
}

func (w *World) declare(object objectstore.Object) {
	object.ChangedBy = "start"
	_, _ = w.store.objects.Write(objectstore.WriteRequest{Object: object})
}

// drawDeclaration draws a declaration that an operator applies.
func (w *World) drawDeclaration(random *rand.Rand) objectstore.Object {
	index := random.IntN(modelCount)
	switch random.IntN(4) {
	case 0, 1:
		return modelObject(index, 1+random.IntN(maxReplicas))
	case 2:
		colours := []string{"blue", "green"}
		return deploymentObject(index, colours[random.IntN(len(colours))])
	default:
		return selectorObject(index, random.IntN(10))
	}
}

func modelName(index int) string {
	return fmt.Sprintf("model%d", index+1)
}

func modelObject(index, replicas int) objectstore.Object {
	return declaration(spec.KindModel, modelName(index), nil, spec.Model{
		Versions: []spec.ModelVersion{{Name: modelVersion, Memory: spec.Bytes(modelMemory), Checkpoint: spec.Bytes(modelCheckpoint)}},
		Replicas: spec.ReplicaBounds{Max: replicas},
	})
}

func deploymentObject(index int, colour string) objectstore.Object {
	name := modelName(index)
	return declaration(spec.KindDeployment, name, map[string]string{"model": name, "colour": colour}, spec.Deployment{
		Model:    name,
		Versions: []spec.WeightedVersion{{Name: modelVersion, Weight: 1}},
	})
}

func selectorObject(index, priority int) objectstore.Object {
	name := modelName(index)
	match := spec.LabelSelector{MatchLabels: map[string]string{"model": name}}
	return declaration(spec.KindSelector, name, nil, spec.Selector{Match: match, Deployments: match, Priority: priority})
}

func declaration(kind spec.Kind, name string, labels map[string]string, value any) objectstore.Object {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("world: encoding declaration %s/%s: %v", kind, name, err))
	}
	return objectstore.Object{Kind: string(kind), Name: name, Labels: labels, Spec: raw}
}

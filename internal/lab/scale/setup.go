package scale

import (
	"encoding/json"
	"fmt"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// Setup is the size of one fleet and the work put on it.
type Setup struct {
	Zones          int `json:"zones"`
	NodesPerZone   int `json:"nodesPerZone"`
	EnginesPerZone int `json:"enginesPerZone"`
	Models         int `json:"models"`
	Adapters       int `json:"adapters"`
	// RequestsPerSecond, CommandsPerSecond (plain calls with a key),
	// ChangesPerMinute and WakesPerHour are those of the whole fleet.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	CommandsPerSecond float64 `json:"commandsPerSecond"`
	ChangesPerMinute  float64 `json:"changesPerMinute"`
	WakesPerHour      float64 `json:"wakesPerHour"`
}

// size is the setup without any load.
func (s Setup) size() Setup {
	s.RequestsPerSecond, s.CommandsPerSecond, s.ChangesPerMinute, s.WakesPerHour = 0, 0, 0, 0
	return s
}

// Base is the setup around which one variable at a time is changed.
func Base() Setup {
	return Setup{Zones: 3, NodesPerZone: 6, EnginesPerZone: 6, Models: 8, Adapters: 64}
}

// Variable is one property of a setup with the values that it takes.
type Variable struct {
	Name string
	Unit string
	// Target is its value at the size to build towards.
	Target float64
	Values []float64
	set    func(*Setup, float64)
}

// apply returns the base with the variable at the value.
func (v Variable) apply(base Setup, value float64) Setup {
	v.set(&base, value)
	return base
}

// Variables are those whose slopes are measured. The targets are those of a
// zone where the variable is a zone's: 800 nodes and 2,300 servers in 16 zones.
func Variables() []Variable {
	return []Variable{
		{"nodes", "nodes of a zone", 50, []float64{3, 6, 12, 18},
			func(s *Setup, value float64) { s.NodesPerZone = int(value) }},
		{"zones", "zones", 16, []float64{2, 4, 6, 9},
			func(s *Setup, value float64) { s.Zones = int(value) }},
		{"engines", "engines of a zone", 144, []float64{6, 24, 48, 96},
			func(s *Setup, value float64) { s.EnginesPerZone = int(value) }},
		{"models", "models", 54, []float64{8, 20, 36, 54},
			func(s *Setup, value float64) { s.Models = int(value) }},
		{"adapters", "adapters", 8700, []float64{64, 1000, 3000, 8700},
			func(s *Setup, value float64) { s.Adapters = int(value) }},
		{"requests", "requests/s of the fleet", 11000, []float64{0, 50, 100, 200},
			func(s *Setup, value float64) { s.RequestsPerSecond = value }},
		{"commands", "keyed commands/s of the fleet", 0, []float64{0, 20, 40, 80},
			func(s *Setup, value float64) { s.CommandsPerSecond = value }},
		{"changes", "configuration changes/min", 1300.0 / 24 / 60, []float64{0, 60, 180, 360},
			func(s *Setup, value float64) { s.ChangesPerMinute = value }},
		{"wakes", "wakes/h of the fleet", 8754 * 0.051, []float64{0, 1800, 5400, 10800},
			func(s *Setup, value float64) { s.WakesPerHour = value }},
	}
}

const (
	// adapterLabelKinds is how many values the label of adapters takes.
	adapterLabelKinds = 12
	modelMemory       = 4 << 30
	adapterMemory     = 64 << 20
	versionName       = "v1"
	commandService    = "turbines"
	commandPrefix     = "/turbines/"
)

func modelName(index int) string   { return fmt.Sprintf("model-%02d", index) }
func adapterName(index int) string { return fmt.Sprintf("adapter-%04d", index) }

// declarations are the objects of a fleet: each model and each adapter has one
// deployment of its name; every model keeps one standing replica at least.
func declarations(setup Setup) ([]objectstore.Object, error) {
	var objects []objectstore.Object
	var failure error
	add := func(kind spec.Kind, name string, labels map[string]string, content any) {
		raw, err := json.Marshal(content)
		if err != nil {
			failure = err
		}
		objects = append(objects, objectstore.Object{Kind: string(kind), Name: name, Labels: labels, Spec: raw})
	}
	versions := []spec.WeightedVersion{{Name: versionName, Weight: 100}}
	add(spec.KindPreferences, "fleet", nil, spec.Preferences{ColdStartWeight: 0.5})
	add(spec.KindService, commandService, nil, spec.Service{PathPrefix: commandPrefix})
	for index := range setup.Models {
		name := modelName(index)
		add(spec.KindModel, name, nil, spec.Model{
			ContextTokens: 8192,
			Versions:      []spec.ModelVersion{{Name: versionName, Memory: modelMemory, Checkpoint: modelMemory}},
			Replicas:      spec.ReplicaBounds{Min: 1, Max: 1 + setup.Zones},
		})
		add(spec.KindDeployment, name, map[string]string{"use": "base"}, spec.Deployment{Model: name, Versions: versions})
	}
	for index := range setup.Adapters {
		model := modelName(index % setup.Models)
		labels := map[string]string{"site": fmt.Sprint("site-", index%adapterLabelKinds)}
		add(spec.KindAdapter, adapterName(index), labels, spec.Adapter{Model: model, Memory: adapterMemory})
		add(spec.KindDeployment, adapterName(index), labels,
			spec.Deployment{Model: model, Adapter: adapterName(index), Versions: versions})
	}
	return objects, failure
}

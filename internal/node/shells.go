package node

import (
	"math/rand/v2"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Configuration is the node's handle on the configuration shell.
type Configuration struct {
	system  *actor.ActorSystem
	process *actor.PID
	service *configService
}

// Server returns the handlers for the peers' calls.
func (c *Configuration) Server() peerpb.Config {
	return c.service
}

// Stop ends the shell's actor and its reads of the store.
func (c *Configuration) Stop() {
	_ = c.system.Root.StopFuture(c.process).Wait()
}

func (n *Node) startConfiguration() *Configuration {
	process, service := spawnConfig(n.system, configDependencies{
		Self:      n.self,
		Platform:  n.platform,
		Peers:     n.peers,
		Views:     n.views,
		Logger:    n.logger,
		OnChanged: n.objectsChanged,
	})
	return &Configuration{system: n.system, process: process, service: service}
}

// objectsChanged passes changes of the record of allotments to the control shell.
func (n *Node) objectsChanged(_ uint64, changed []objectstore.Object) {
	for _, object := range changed {
		if object.Kind == objectstore.KindAllotments {
			n.control.ObjectChanged(object)
		}
	}
}

func (n *Node) startControl() *Control {
	engines := backend.NewEngineControl(n.self.Zone)
	engines.CountTraffic(n.traffic.Channel("engine"))
	settings := control.DefaultSettings()
	settings.Placement.StoreLoadsPerSecond = n.settings.WeightStore.LoadsPerSecond
	settings.Placement.StoreConcurrency = n.settings.WeightStore.ConcurrentLoads
	return StartControl(ControlDependencies{
		System:         n.system,
		Self:           n.self,
		Views:          n.views,
		Peers:          n.peers,
		Engines:        engines,
		Store:          recordStore{client: n.platform},
		Logger:         n.logger,
		Registerer:     n.metrics,
		Core:           control.Options{Seed: rand.Uint64(), Settings: settings},
		CatalogMessage: catalogMessage,
	})
}

// catalogMessage selects the parts of a catalog that the control core decides by.
func catalogMessage(snapshot *catalog.Snapshot) control.CatalogChanged {
	return control.CatalogChanged{
		Models:          snapshot.Models(),
		Adapters:        snapshot.Adapters(),
		ColdStartWeight: snapshot.Preferences().ColdStartWeight,
		Evacuations:     snapshot.Evacuations(),
		Topology:        snapshot.Topology(),
	}
}

package httpdriver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// Paths of the platform's calls other than the object API.
const (
	PathMachines    = "/v1/machines"
	PathLabMachines = "/lab/machines"
	PathWeightReads = "/lab/weights/reads"
	PathWeights     = "/lab/weights"
)

const probeTimeout = time.Second

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	Weights  weights.Options
	Machines machines.Options
	// History is the number of changes that the object API keeps for watches;
	// 0 means objects.DefaultHistory.
	History int
}

// Platform serves the object API, the machine list and the weight store.
type Platform struct {
	faults   *faults.Switch
	objects  *objectsAPI
	machines *machineList
	weights  *weightStore
}

// NewPlatform starts a platform that runs until the context ends.
func NewPlatform(ctx context.Context, options PlatformOptions) *Platform {
	created := &Platform{
		objects:  newObjectsAPI(objects.New(options.History)),
		machines: newMachineList(ctx, options.Machines),
		weights:  newWeightStore(ctx, options.Weights),
	}
	created.faults = faults.NewSwitch(faults.PlatformZone, func(set faults.Set) {
		created.objects.freeze(set.StaleReads)
		created.objects.restore(set.RestoreTo)
		created.machines.freeze(set.StaleMachines)
		created.weights.setSlowFactor(set.WeightsSlowFactor)
	})
	return created
}

// Handler returns the handler of the platform's HTTP calls. Faults do not affect
// paths under /lab/, so that heartbeats and the weight store keep working while
// the object API is down.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	p.objects.register(mux)
	mux.HandleFunc("GET "+PathMachines, p.machines.serveList)
	mux.HandleFunc("POST "+PathLabMachines, p.machines.serveReport)
	mux.HandleFunc("POST "+PathWeightReads, p.weights.serveRead)
	mux.HandleFunc("GET "+PathWeights, p.weights.serveStats)
	mux.Handle(faults.Path, p.faults)
	return p.faults.Wrap(mux)
}

// machineList serves a machines.Core over HTTP.
type machineList struct {
	ctx       context.Context
	eventLoop *eventLoop
	core      *machines.Core
	// frozen is the list to serve while the stale-machines fault is active.
	frozen *objectstore.MachineList
}

func newMachineList(ctx context.Context, options machines.Options) *machineList {
	created := &machineList{ctx: ctx, core: machines.New(options)}
	created.eventLoop = newEventLoop(ctx, created.core.NextWake, func(now time.Time) {
		created.step(now, machines.Tick{})
	})
	return created
}

func (m *machineList) step(now time.Time, message machines.Message) {
	for _, probe := range m.core.Step(now, message) {
		go m.probe(probe)
	}
}

// probe dials the machine's address; a refused connection means that no process
// listens there.
func (m *machineList) probe(probe machines.Probe) {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(m.ctx, "tcp", probe.Address)
	if err == nil {
		_ = connection.Close()
	}
	refused := isRefused(err)
	m.eventLoop.do(func(now time.Time) {
		m.step(now, machines.ProbeDone{Name: probe.Name, Refused: refused})
	})
}

func (m *machineList) serveList(writer http.ResponseWriter, _ *http.Request) {
	var list objectstore.MachineList
	m.eventLoop.do(func(now time.Time) {
		m.step(now, machines.Tick{})
		list = m.visibleList(now)
	})
	writeJSON(writer, http.StatusOK, list)
}

func (m *machineList) visibleList(now time.Time) objectstore.MachineList {
	if m.frozen != nil {
		return *m.frozen
	}
	return m.core.List(now)
}

func (m *machineList) freeze(on bool) {
	m.eventLoop.do(func(now time.Time) {
		switch {
		case !on:
			m.frozen = nil
		case m.frozen == nil:
			list := m.core.List(now)
			m.frozen = &list
		}
	})
}

func (m *machineList) serveReport(writer http.ResponseWriter, request *http.Request) {
	var report MachineReport
	if !readJSON(writer, request, &report) {
		return
	}
	m.eventLoop.do(func(now time.Time) { m.step(now, machines.Report{Machines: report.Machines}) })
	writer.WriteHeader(http.StatusNoContent)
}

// MachineReport is the body of POST /lab/machines: the heartbeat of all machines
// that one process simulates.
type MachineReport struct {
	Machines []objectstore.Machine `json:"machines"`
}

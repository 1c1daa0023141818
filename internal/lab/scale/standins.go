package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

// Ports of the loopback addresses; all lie below those that the kernel gives
// to outgoing connections.
const (
	portCaller   = 7101
	portOperator = 7102
	portPeer     = 7103
	portGossip   = 7104
	portPlatform = 7100
	portEngine   = 7200
	portService  = 7110
)

// subnets is how many runs side by side have addresses of their own.
const subnets = 100

// address is a loopback address of this process: a zone's, and a host in it.
func address(zone, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", subnets+os.Getpid()%subnets, zone+1, host+1, port)
}

const (
	platformZone = 250
	backendHost  = 250
	engineMemory = 80 << 30
	kvReserve    = 8 << 30
	// machineLag is short, so that a point settles soon.
	machineLag = 100 * time.Millisecond
)

// standIns are the outside of a fleet.
type standIns struct {
	cancel  context.CancelFunc
	servers []*http.Server
	url     string
	client  *objectstore.Client
	// versions are those of the objects as this process wrote them.
	versions map[objectstore.Key]uint64
	// woken counts the adapters that were asked for, so that each is asked for
	// once.
	woken atomic.Int64
}

func startStandIns(ctx context.Context, setup Setup) (*standIns, error) {
	ctx, cancel := context.WithCancel(ctx)
	created := &standIns{
		cancel:   cancel,
		url:      "http://" + address(platformZone, 0, portPlatform),
		versions: make(map[objectstore.Key]uint64),
	}
	outside := httpdriver.NewPlatform(ctx, httpdriver.PlatformOptions{Machines: machines.Options{Lag: machineLag}})
	err := created.serve(address(platformZone, 0, portPlatform), outside.Handler())
	created.client = objectstore.NewClient(created.url, "")
	announced := httpdriver.PlatformClient{URL: created.url, HTTP: &http.Client{}}
	var lines []func() objectstore.Machine
	for zone := range setup.Zones {
		for index := range setup.EnginesPerZone {
			running := httpdriver.NewEngine(ctx, engineOptions(zone, index), announced)
			err = errors.Join(err, created.serve(address(zone, backendHost, portEngine+index), running.Handler()))
			lines = append(lines, running.Machine)
		}
		running := httpdriver.NewService(ctx, serviceOptions(zone))
		err = errors.Join(err, created.serve(address(zone, backendHost, portService), running.Handler()))
		lines = append(lines, running.Machine)
	}
	announcer := &httpdriver.Announcer{Client: announced, Machines: func() []objectstore.Machine {
		machines := make([]objectstore.Machine, 0, len(lines))
		for _, line := range lines {
			machines = append(machines, line())
		}
		return machines
	}}
	go announcer.Run(ctx)
	if err != nil {
		created.stop()
		return nil, err
	}
	return created, nil
}

func engineOptions(zone, index int) engine.Options {
	return engine.Options{
		Backend: fleet.Backend{
			Name:    fleet.BackendName(fmt.Sprintf("%s-engine-%03d", zoneName(zone), index)),
			Kind:    fleet.KindEngine,
			Zone:    zoneName(zone),
			Rack:    fmt.Sprintf("%s-rack-%d", zoneName(zone), index%8),
			Address: address(zone, backendHost, portEngine+index),
		},
		Incarnation:    uint64(time.Now().UnixNano()),
		MemoryBytes:    engineMemory,
		KVReserveBytes: kvReserve,
		Seed:           uint64(index),
		Timing:         engine.Timing{IterationBase: 20 * time.Millisecond, RemoteLoad: time.Second},
	}
}

func serviceOptions(zone int) service.Options {
	return service.Options{
		ServiceTime: 5 * time.Millisecond,
		Incarnation: uint64(time.Now().UnixNano()),
		Backend: fleet.Backend{
			Name:    fleet.BackendName(string(zoneName(zone)) + "-" + commandService),
			Kind:    fleet.KindService,
			Zone:    zoneName(zone),
			Address: address(zone, backendHost, portService),
			Service: commandService,
		},
	}
}

func zoneName(zone int) fleet.Zone { return fleet.Zone(fmt.Sprintf("zone-%02d", zone)) }

func (s *standIns) serve(at string, handler http.Handler) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *standIns) stop() {
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.client.Close()
}

// put writes an object over what this process wrote last.
func (s *standIns) put(ctx context.Context, object objectstore.Object) error {
	expected := s.versions[object.Key()]
	object.ChangeID = fmt.Sprintf("scale-%s-%s-%d", object.Kind, object.Name, expected)
	object.ChangedBy = "scale"
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := s.client.Put(ctx, object, expected)
	if err == nil {
		s.versions[object.Key()] = written.Version
	}
	return err
}

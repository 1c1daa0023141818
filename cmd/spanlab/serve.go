package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
)

const (
	// minLeavingDuration is the minimum time for which a back end keeps serving
	// after it has announced that it is leaving, so that the announcement is
	// received before its address stops responding.
	minLeavingDuration = time.Second
	idlePollInterval   = 20 * time.Millisecond
	closeTimeout       = time.Second
)

// simulatedBackend is one of the back ends that a process simulates.
type simulatedBackend interface {
	Handler() http.Handler
	Machine() objectstore.Machine
	Leave()
	Idle() bool
}

// listen opens listeners on count consecutive ports, starting at that of address.
// With port 0 each listener gets any free port.
func listen(address string, count int) ([]net.Listener, error) {
	first, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	listeners := make([]net.Listener, 0, count)
	for index := range count {
		port := first.Port()
		if port != 0 {
			port += uint16(index)
		}
		listener, err := net.Listen("tcp", netip.AddrPortFrom(first.Addr(), port).String())
		if err != nil {
			return nil, errors.Join(err, closeAll(listeners))
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) error {
	var failures []error
	for _, listener := range listeners {
		failures = append(failures, listener.Close())
	}
	return errors.Join(failures...)
}

// serveBackends serves the simulated back ends until SIGTERM or SIGINT, announces
// that they are leaving, and returns once running requests have finished. A second
// signal makes it return without waiting for them.
func serveBackends(ctx context.Context, logger *log.Logger, client httpdriver.PlatformClient, listeners []net.Listener, backends []simulatedBackend) error {
	servers := make([]*http.Server, len(backends))
	for index, backend := range backends {
		servers[index] = newServer(backend.Handler())
		go serve(logger, servers[index], listeners[index])
	}
	announcer := &httpdriver.Announcer{
		Client:   client,
		Machines: func() []objectstore.Machine { return machineEntries(backends) },
		OnError: func(err error) {
			logger.Warn().Err(err).Msg("heartbeat_failed")
		},
	}
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	go announcer.Run(announceCtx)
	logger.Info().Str("listen", listeners[0].Addr().String()).Int("count", len(backends)).Msg("ready")

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	<-signals
	for _, backend := range backends {
		backend.Leave()
	}
	announcer.Announce(ctx)
	logger.Info().Msg("leaving")
	waitUntilIdle(backends, signals)
	logger.Info().Msg("stopped")
	return shutdown(ctx, servers)
}

func machineEntries(backends []simulatedBackend) []objectstore.Machine {
	entries := make([]objectstore.Machine, len(backends))
	for index, backend := range backends {
		entries[index] = backend.Machine()
	}
	return entries
}

func waitUntilIdle(backends []simulatedBackend, signals <-chan os.Signal) {
	minElapsed := time.After(minLeavingDuration)
	mayStop := false
	for {
		select {
		case <-signals:
			return
		case <-minElapsed:
			mayStop = true
		case <-time.After(idlePollInterval):
		}
		if mayStop && allIdle(backends) {
			return
		}
	}
}

func allIdle(backends []simulatedBackend) bool {
	for _, backend := range backends {
		if !backend.Idle() {
			return false
		}
	}
	return true
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10}
}

func serve(logger *log.Logger, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		logger.Error().Err(err).Msg("serve_failed")
	}
}

// shutdown waits up to closeTimeout for open responses to be written, then closes
// the remaining connections.
func shutdown(ctx context.Context, servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	return nil
}

func platformClient(command *cli.Command) httpdriver.PlatformClient {
	url := strings.TrimSuffix(command.String(flagPlatform), "/")
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	return httpdriver.PlatformClient{URL: url, HTTP: &http.Client{}}
}

// Flags shared by the engine and service commands.
const (
	flagPlatform   = "platform"
	flagZone       = "zone"
	flagNamePrefix = "name-prefix"
	flagListen     = "listen"
	flagCount      = "count"
	flagRack       = "rack"
	flagSeed       = "seed"
)

func backendFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagPlatform, Usage: "URL of the platform", Required: true},
		&cli.StringFlag{Name: flagZone, Usage: "zone of the back ends", Required: true},
		&cli.StringFlag{Name: flagNamePrefix, Usage: "names are this and a number", Required: true},
		&cli.StringFlag{Name: flagListen, Usage: "IP:port of the first one; the rest follow on consecutive ports", Required: true},
		&cli.IntFlag{Name: flagCount, Usage: "how many", Value: 1, Validator: positive},
		&cli.StringSliceFlag{Name: flagRack, Usage: "racks, over which the back ends are spread in turn"},
	}
}

func positive(count int) error {
	if count < 1 {
		return errors.New("must be at least 1")
	}
	return nil
}

func rackFor(racks []string, index int) string {
	if len(racks) == 0 {
		return ""
	}
	return racks[index%len(racks)]
}

func backendName(prefix string, index int) string {
	return prefix + strconv.Itoa(index)
}

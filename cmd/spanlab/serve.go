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
	// leavingLinger is how long a back end at least serves on after it has said
	// that it leaves, so that the news is heard before its address is gone.
	leavingLinger = time.Second
	idlePoll      = 20 * time.Millisecond
	closeTimeout  = time.Second
)

// standIn is one back end that a process stands for.
type standIn interface {
	Handler() http.Handler
	Machine() objectstore.Machine
	Leave()
	Idle() bool
}

// listen opens a listener for each of count consecutive ports; port 0 gives
// each any free port.
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

// serveBackends serves the stand-ins until SIGTERM, says that they leave, and
// returns once what runs has ended. A second signal ends it at once.
func serveBackends(ctx context.Context, logger *log.Logger, client httpdriver.PlatformClient, listeners []net.Listener, backends []standIn) error {
	servers := make([]*http.Server, len(backends))
	for index, backend := range backends {
		servers[index] = newServer(backend.Handler())
		go serve(logger, servers[index], listeners[index])
	}
	announcer := &httpdriver.Announcer{
		Client:   client,
		Machines: func() []objectstore.Machine { return machineLines(backends) },
		OnError: func(err error) {
			logger.Warn().Err(err).Msg("heartbeat_failed")
		},
	}
	announcing, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	go announcer.Run(announcing)
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
	awaitIdle(backends, signals)
	logger.Info().Msg("stopped")
	return shutdown(ctx, servers)
}

func machineLines(backends []standIn) []objectstore.Machine {
	lines := make([]objectstore.Machine, len(backends))
	for index, backend := range backends {
		lines[index] = backend.Machine()
	}
	return lines
}

func awaitIdle(backends []standIn, signals <-chan os.Signal) {
	linger := time.After(leavingLinger)
	lingered := false
	for {
		select {
		case <-signals:
			return
		case <-linger:
			lingered = true
		case <-time.After(idlePoll):
		}
		if lingered && allIdle(backends) {
			return
		}
	}
}

func allIdle(backends []standIn) bool {
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

// shutdown lets answers be written out, then closes what is left.
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

// The flags that engines and services share.
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

func rackOf(racks []string, index int) string {
	if len(racks) == 0 {
		return ""
	}
	return racks[index%len(racks)]
}

func numbered(prefix string, index int) string {
	return prefix + strconv.Itoa(index)
}

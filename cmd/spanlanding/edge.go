package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/buildid"
	"github.com/spanlanding/spanlanding/internal/edge"
	"github.com/spanlanding/spanlanding/internal/hangup"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/platform"
)

// edgeGCPercent is the heap growth between garbage collections, in percent. It
// is below Go's default of 100 because on the platform's machines memory is
// scarcer than CPU time for the collector.
const edgeGCPercent = 40

const edgeCommandName = "edge"

// edgeCommand returns the command that runs a node on the operators' platform.
func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  edgeCommandName,
		Usage: "run a node on the operators' platform, with the settings that " + platform.SettingsEnvVar + " names",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics", Usage: "serve figures at `PORT/PATH`"},
			&cli.StringFlag{Name: "peers-listen", Usage: "hear other nodes at `IP:PORT`, where that is not the address that the settings tell them"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "write lines of `LEVEL` and above: debug, info, warn, error"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runEdge(ctx, edgeFlags{
				metrics: command.String("metrics"), peersListen: command.String("peers-listen"), logLevel: command.String("log-level"),
			})
		},
	}
}

// unlimitedEvents are the log events exempt from the limit on lines per second;
// they are dropped only if the buffer is full. Under load this keeps refusals and
// failures in preference to successes, and all changes of what the process knows.
var unlimitedEvents = map[string]bool{
	"request_refused": true, "request_failed": true, "request_cut": true,
	"service_unreachable": true, "service_reachable": true, "lease_ceded": true,
	"lease_taken": true, "lease_lost": true, "config_in_force": true, "server_changed": true, "server_word": true, "node_started": true, "node_stopped": true,
	"evacuation_in_force": true, "evacuation_ended": true, "evacuation_of_unknown_zone": true,
}

// edgeFlags holds the values of the command line flags.
type edgeFlags struct{ metrics, peersListen, logLevel string }

func runEdge(ctx context.Context, flags edgeFlags) error {
	level, ok := logging.Levels[flags.logLevel]
	if !ok {
		return operator.ErrUsage.New("no log level %q", flags.logLevel)
	}
	if _, err := netip.ParseAddrPort(flags.peersListen); flags.peersListen != "" && err != nil {
		return operator.ErrUsage.New("--peers-listen: %q is not IP:PORT", flags.peersListen)
	}
	debug.SetGCPercent(edgeGCPercent)
	path := os.Getenv(platform.SettingsEnvVar)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitHeap(settings)
	logOutput := logging.NewBoundedWriter(logging.BoundedWriterOptions{Out: os.Stdout, UnlimitedEvents: unlimitedEvents})
	defer logOutput.Close()
	logger := logging.New(logOutput, level, logging.Field{Key: "node", Value: settings.NodeName})
	for _, warning := range settings.Warnings() {
		logger.Warn().Str("place", path).Str("reason", warning).Msg("settings_doubtful")
	}
	store := &platform.Store{
		Objects:  platform.NewObjectClient(settings.Platform.Address),
		Topology: settings.Topology(),
		OnInvalidEntry: func(entryPath string, parseErr error) {
			logger.Warn().Str("place", entryPath).Str("error", parseErr.Error()).Msg("entry_unreadable")
		},
	}
	pool := backendconn.New(backendconn.Options{})
	engines := &platform.EngineClient{Pool: pool}
	node := edge.New(edge.Options{
		Name:              settings.NodeName,
		Build:             buildid.Current(),
		Zone:              settings.Zone,
		Topology:          settings.Topology(),
		FrontendAddress:   settings.Listen.Frontend,
		ReadyAddress:      settings.Listen.Ready,
		ReadyPath:         platform.ReadyPath,
		Tunables:          tunables(settings),
		PeerAddress:       settings.PeerAddress(settings.IP),
		PeerListenAddress: flags.peersListen,
		Strength:          strength(settings),
		ApplyWithin:       applyWithin(settings),
		EvacuateWithin:    platform.Milliseconds(settings.Bounds.EvacuateMs),
		Zones:             settings.ZoneNames(),
		IsBootstrap:       settings.IsBootstrap,
		LeaseQuietPeriod:  platform.Milliseconds(settings.Bounds.LeaseMs),
		ModelLoadWindow:   platform.Seconds(settings.Bounds.CeilingWindowS),
		ModelLoadOverage:  settings.Bounds.OriginOverage,
		QuotaTolerance: quota.Tolerance{
			Window: platform.Seconds(settings.Bounds.QuotaWindowS), Overage: settings.Bounds.QuotaOverage, Slack: settings.Bounds.QuotaSlack,
		},
		ColdOverage: settings.Bounds.ColdOverage,
		ColdSlack:   settings.Bounds.ColdSlack,

		Store:       store,
		Lease:       store,
		Checkpoints: store,

		StoreReadsPerSecond:  settings.Platform.ReadsPerS,
		StoreWritesPerSecond: settings.Platform.WritesPerS,

		Engines:           engines,
		Pool:              pool,
		Dialect:           platform.Dialect{},
		Logger:            logger,
		MetricsEndpoint:   metricsAddress(settings, flags.metrics),
		DroppedLogLines:   logOutput.Dropped,
		UnreadableEntries: store.UnreadableEntries,
	})
	store.Objects.OnCall = node.RecordStoreCall
	go watchSettings(ctx, path, hangup.Signals(), func() { reload(node, path, logger) })
	return node.Run(ctx)
}

// limitHeap sets the limit of the heap by the machine's memory, unless the environment sets one.
func limitHeap(settings platform.Settings) {
	if limit := settings.HeapLimit(); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
}

// metricsAddress returns the address and path at which metrics are served, empty
// for none. The settings take precedence over the flag.
func metricsAddress(settings platform.Settings, flag string) string {
	endpoint := settings.Metrics
	if endpoint == "" {
		endpoint = flag
	}
	if endpoint == "" {
		return ""
	}
	return settings.IP + ":" + endpoint
}

// milliCoresPerMbit is the CPU, in thousandths of a core, that counts as much as
// 1 Mbit/s of link bandwidth: a leader's messages to other nodes use about as
// much of both.
const milliCoresPerMbit = 4

// strength returns the capacity of the machine in thousandths of a core, limited
// by the scarcer of its CPU and its link.
func strength(settings platform.Settings) uint32 {
	const milliCores = 1000
	cores := max(1, settings.Limits.Cores)
	return uint32(min(settings.Limits.CPUShare*cores*milliCores, settings.Limits.LinkMbps*milliCoresPerMbit))
}

// applyWithin returns the time within which every node must know of a new
// configuration and of a server that is leaving.
func applyWithin(settings platform.Settings) time.Duration {
	return platform.Milliseconds(min(settings.Bounds.ConfigApplyMs, settings.Bounds.DrainMs))
}

// tunables returns the settings that can change while a node runs.
func tunables(settings platform.Settings) edge.Tunables {
	return edge.Tunables{
		GracePeriod: platform.Seconds(settings.Bounds.GraceS),
		PeerSeeds:   peerSeeds(settings),
		RetryBudget: retrybudget.Options{
			Ratio:  settings.Bounds.RetryBudgetRatio,
			Extra:  settings.Bounds.BudgetExtra,
			Window: platform.Seconds(settings.Bounds.BudgetWindowS),
		},
		ResponseLimits: settings.BoundedLimits(),
		RequestMemory:  settings.RequestMemory(),
	}
}

// reload reloads the settings. If they cannot be read, the current ones stay
// active.
func reload(node *edge.Node, path string, logger *log.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		logger.Warn().Str("error", err.Error()).Msg("settings_refused")
		return
	}
	node.UpdateTunables(tunables(settings))
	logger.Info().Int("seeds", len(settings.Seeds)).Msg("settings_reloaded")
}

// settingsPollInterval is the interval between checks of the settings file, which
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings calls onChange on each SIGHUP and on each change of the file,
// until ctx is done.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, onChange func()) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastStamp := fileStamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			lastStamp = fileStamp(path)
			onChange()
		case <-ticker.C:
			if stamp := fileStamp(path); stamp != lastStamp {
				lastStamp = stamp
				onChange()
			}
		}
	}
}

// fileStamp returns a string that differs between versions of a file: its
// modification time and size. It is empty if the file cannot be examined.
func fileStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

func peerSeeds(settings platform.Settings) []string {
	var seeds []string
	for _, ip := range settings.SeedIPs() {
		seeds = append(seeds, settings.PeerAddress(ip))
	}
	return seeds
}

package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/buildid"
	"github.com/spanlanding/spanlanding/internal/edge"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/platform"
)

// edgeHeapPercent is the growth of the heap between collections. Memory is
// dearer on the platform's machines than the collector's time.
const edgeHeapPercent = 40

// edgeCommand runs a node on the operators' platform.
func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
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

// keptEvents are the events of which every line is kept while there is room:
// refusals and failures before successes, and what the process believes.
var keptEvents = map[string]bool{
	"request_refused": true, "request_failed": true, "request_cut": true,
	"lease_taken": true, "lease_lost": true, "config_in_force": true, "server_changed": true, "server_word": true, "node_started": true, "node_stopped": true,
	"evacuation_in_force": true, "evacuation_ended": true, "evacuation_of_unknown_zone": true,
}

// edgeFlags are the flags of the command.
type edgeFlags struct{ metrics, peersListen, logLevel string }

func runEdge(ctx context.Context, flags edgeFlags) error {
	level, ok := logging.Levels[flags.logLevel]
	if !ok {
		return operator.ErrUsage.New("no log level %q", flags.logLevel)
	}
	if _, err := netip.ParseAddrPort(flags.peersListen); flags.peersListen != "" && err != nil {
		return operator.ErrUsage.New("--peers-listen: %q is not IP:PORT", flags.peersListen)
	}
	debug.SetGCPercent(edgeHeapPercent)
	// Taken at once and to the end: a hangup that nobody takes ends the process,
	// also one that is stopping.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsEnvVar)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	lines := logging.NewBoundedWriter(logging.BoundedWriterOptions{Out: os.Stdout, UnlimitedEvents: keptEvents})
	defer lines.Close()
	logger := logging.New(lines, level, logging.Field{Key: "node", Value: settings.NodeName})
	for _, doubt := range settings.Warnings() {
		logger.Warn().Str("place", path).Str("reason", doubt).Msg("settings_doubtful")
	}
	store := &platform.Store{
		Objects:  platform.NewObjectClient(settings.Platform.Address),
		Topology: settings.Topology(),
		OnInvalidEntry: func(place string, finding error) {
			logger.Warn().Str("place", place).Str("error", finding.Error()).Msg("entry_unreadable")
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

		Store:             store,
		Lease:             store,
		Engines:           engines,
		Pool:              pool,
		Dialect:           platform.Dialect{},
		Logger:            logger,
		MetricsEndpoint:   metricsAddress(settings, flags.metrics),
		DroppedLogLines:   lines.Dropped,
		UnreadableEntries: store.UnreadableEntries,
	})
	store.Objects.OnCall = node.RecordStoreCall
	go watchSettings(ctx, path, hangups, func() { reload(node, path, logger) })
	return node.Run(ctx)
}

// metricsAddress is where figures are served: the settings go before the flag.
func metricsAddress(settings platform.Settings, flag string) string {
	place := settings.Metrics
	if place == "" {
		place = flag
	}
	if place == "" {
		return ""
	}
	return settings.IP + ":" + place
}

// linkMilliCores is the processor, in thousandths of a core, that goes with 1
// Mbit/s: what a leader tells others takes about as much of both.
const linkMilliCores = 4

// strength is how much the machine can do, by the scarcer of its processor and
// its link.
func strength(settings platform.Settings) uint32 {
	const milliCores = 1000
	cores := max(1, settings.Limits.Cores)
	return uint32(min(settings.Limits.CPUShare*cores*milliCores, settings.Limits.LinkMbps*linkMilliCores))
}

// applyWithin is the time within which both a configuration and the leaving of a
// server must be known at every node.
func applyWithin(settings platform.Settings) time.Duration {
	return platform.Milliseconds(min(settings.Bounds.ConfigApplyMs, settings.Bounds.DrainMs))
}

// tunables are the settings that change while a node runs.
func tunables(settings platform.Settings) edge.Tunables {
	return edge.Tunables{
		GracePeriod: platform.Seconds(settings.Bounds.GraceS),
		PeerSeeds:   peerSeeds(settings),
		RetryBudget: retrybudget.Options{
			Ratio:  settings.Bounds.RetryBudgetRatio,
			Extra:  settings.Bounds.BudgetExtra,
			Window: platform.Seconds(settings.Bounds.BudgetWindowS),
		},
	}
}

// reload reads the settings anew. Settings that cannot be read leave those in
// force that were.
func reload(node *edge.Node, path string, logger *log.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		logger.Warn().Str("error", err.Error()).Msg("settings_refused")
		return
	}
	node.UpdateTunables(tunables(settings))
	logger.Info().Int("seeds", len(settings.Seeds)).Msg("settings_reloaded")
}

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = 2 * time.Second

// watchSettings calls changed at each hangup and each change of the file, until
// the process is to stop.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	known := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			known = modified(path)
			changed()
		case <-ticker.C:
			if now := modified(path); now != known {
				known = now
				changed()
			}
		}
	}
}

// modified tells one state of a file from another.
func modified(path string) string {
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

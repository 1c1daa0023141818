package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/edge"
	"github.com/spanlanding/spanlanding/internal/logging"
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
		Usage: "run a node on the operators' platform, with the settings that " + platform.SettingsVariable + " names",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runEdge(ctx)
		},
	}
}

func runEdge(ctx context.Context) error {
	debug.SetGCPercent(edgeHeapPercent)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	logger := logging.New(os.Stdout, logging.Levels["info"], logging.Field{Key: "node", Value: settings.NodeName})
	store := &platform.Store{
		Objects: platform.NewObjects(settings.Platform.Address),
		Findings: func(place string, finding error) {
			logger.Warn().Str("place", place).Str("error", finding.Error()).Msg("entry_unreadable")
		},
	}
	pool := backendconn.New(backendconn.Options{})
	node := edge.New(edge.Options{
		Name:      settings.NodeName,
		Zone:      settings.Zone,
		Frontend:  settings.Listen.Frontend,
		Ready:     settings.Listen.Ready,
		ReadyPath: platform.ReadyPath,
		Grace:     platform.Seconds(settings.Bounds.GraceS),
		Budget: retrybudget.Options{
			Ratio:  settings.Bounds.RetryBudgetRatio,
			Extra:  settings.Bounds.BudgetExtra,
			Window: platform.Seconds(settings.Bounds.BudgetWindowS),
		},
		PeerAddress: settings.PeerAddress(settings.IP),
		PeerSeeds:   peerSeeds(settings),
		LeaseQuiet:  platform.Milliseconds(settings.Bounds.LeaseMs),
		LoadWindow:  platform.Seconds(settings.Bounds.CeilingWindowS),
		LoadOverage: settings.Bounds.OriginOverage,
		Store:       store,
		Lease:       store,
		Engines:     &platform.Engines{Pool: pool},
		Pool:        pool,
		Dialect:     platform.Dialect{},
		Logger:      logger,
	})
	return node.Run(ctx)
}

func peerSeeds(settings platform.Settings) []string {
	var seeds []string
	for _, ip := range settings.SeedIPs() {
		seeds = append(seeds, settings.PeerAddress(ip))
	}
	return seeds
}

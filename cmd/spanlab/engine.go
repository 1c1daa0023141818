package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "stand in for model engines, several in one process",
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "memory", Usage: "accelerator memory of each", Value: "80GiB", Validator: validBytes},
			&cli.StringFlag{Name: "kv-reserve", Usage: "part of it that is kept for KV cache", Value: "8GiB", Validator: validBytes},
			&cli.FloatFlag{Name: "load-seconds", Usage: "load of a 14 GiB checkpoint from the weight store at full speed; others in proportion", Value: 20},
			&cli.DurationFlag{Name: "token-interval", Usage: "time of one iteration before what each request adds", Value: 20 * time.Millisecond},
			&cli.StringSliceFlag{Name: "cached", Usage: "checkpoints that lie nearer at the start, as model@version=memory or =disk"},
			&cli.StringFlag{Name: "role", Usage: "role at the start"},
			&cli.IntFlag{Name: "max-running", Usage: "requests in a batch", Value: 64, Validator: positive},
			&cli.Uint64Flag{Name: flagSeed, Usage: "draws the gaps in cache events", Value: 1},
		),
		Action: runEngines,
	}
}

func runEngines(ctx context.Context, command *cli.Command) error {
	options, err := engineOptions(command)
	if err != nil {
		return err
	}
	listeners, err := listen(command.String(flagListen), command.Int(flagCount))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := platformClient(command)
	backends := make([]simulatedBackend, len(listeners))
	for index, listener := range listeners {
		backendOptions := options
		backendOptions.Seed += uint64(index)
		backendOptions.Backend = fleet.Backend{
			Name:    fleet.BackendName(backendName(command.String(flagNamePrefix), index)),
			Kind:    fleet.KindEngine,
			Zone:    fleet.Zone(command.String(flagZone)),
			Rack:    rackFor(command.StringSlice(flagRack), index),
			Address: listener.Addr().String(),
		}
		backends[index] = httpdriver.NewEngine(ctx, backendOptions, client)
	}
	return serveBackends(ctx, newLogger(), client, listeners, backends)
}

func engineOptions(command *cli.Command) (engine.Options, error) {
	memory, err := parseBytes(command.String("memory"))
	if err != nil {
		return engine.Options{}, err
	}
	reserve, err := parseBytes(command.String("kv-reserve"))
	if err != nil {
		return engine.Options{}, err
	}
	tiers, err := parseTiers(command.StringSlice("cached"))
	if err != nil {
		return engine.Options{}, err
	}
	return engine.Options{
		Incarnation:    uint64(time.Now().UnixNano()),
		Role:           command.String("role"),
		MemoryBytes:    memory,
		KVReserveBytes: reserve,
		Tiers:          tiers,
		MaxRunning:     command.Int("max-running"),
		Seed:           command.Uint64(flagSeed),
		Timing: engine.Timing{
			IterationBase: command.Duration("token-interval"),
			RemoteLoad:    time.Duration(command.Float("load-seconds") * float64(time.Second)),
		},
	}, nil
}

// byteUnits lists unit suffixes in the order in which they are tried. Longer ones
// come first, so that "GiB" is not parsed as "B".
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}, {"", 1},
}

func parseBytes(text string) (int64, error) {
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || count < 0 || count > (1<<62)/unit.bytes {
			return 0, fmt.Errorf("%q is not a size such as 80GiB", text)
		}
		return count * unit.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size such as 80GiB", text)
}

func validBytes(text string) error {
	_, err := parseBytes(text)
	return err
}

func parseTiers(entries []string) (map[fleet.ModelVersion]fleet.Tier, error) {
	tiers := map[fleet.ModelVersion]fleet.Tier{}
	for _, entry := range entries {
		model, tier, _ := strings.Cut(entry, "=")
		switch fleet.Tier(tier) {
		case fleet.TierMemory, fleet.TierDisk:
			tiers[fleet.ParseModelVersion(model)] = fleet.Tier(tier)
		default:
			return nil, fmt.Errorf("%q is not model@version=memory or model@version=disk", entry)
		}
	}
	return tiers, nil
}

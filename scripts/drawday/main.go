// Command drawday generates a random day for the operators' bench: faults and
// planned operations of random kinds at random times, which may repeat and
// overlap. It prints the day as TOML. The same seed and flags generate the same
// day.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
)

// eventKind is a kind of fault or planned operation. drawFields draws its
// parameters, except the start time.
type eventKind struct {
	kind       string
	planned    bool
	drawFields func(random *rand.Rand) string
}

// requiredContracts maps a kind to the contract, beyond the common ones, that must
// be open for it to be drawn.
var requiredContracts = map[string]string{"srv_lying_health": "health", "srv_flap": "health", "idle_race": "pool"}

func uniform(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

func pick(random *rand.Rand, words ...string) string {
	return words[random.IntN(len(words))]
}

func formatFields(format string, generators ...func(*rand.Rand) any) func(*rand.Rand) string {
	return func(random *rand.Rand) string {
		values := make([]any, 0, len(generators))
		for _, generate := range generators {
			values = append(values, generate(random))
		}
		return fmt.Sprintf(format, values...)
	}
}

func floatBetween(low, high float64) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return uniform(random, low, high) }
}

func choiceOf(words ...string) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return pick(random, words...) }
}

func countUpTo(maximum int) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return 1 + random.IntN(maximum) }
}

var eventKinds = []eventKind{
	{"srv_cut", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.4), floatBetween(1, 6), choiceOf("", "fronts", "some", "one_way", "reset"))},
	{"replace_with_reuse", false, formatFields(`share = %.2f, how = %q`, floatBetween(0.1, 0.3), choiceOf("", "drain", "dark"))},
	{"scale_out", true, formatFields(`share = %.2f, gap_s = %.1f`, floatBetween(0.1, 0.4), floatBetween(0.2, 1))},
	{"node_slow", false, formatFields(`share = %.2f, x = %.1f, for_s = %.1f`, floatBetween(0.1, 0.4), floatBetween(2, 8), floatBetween(2, 6))},
	{"after_ack_kill", false, formatFields(`count = %d, for_s = %.1f, how = %q`, countUpTo(3), floatBetween(1, 4), choiceOf("", "kill", "timed", "taken"))},
	{"clock_step", false, formatFields(`share = %.2f, x = %.0f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.5), floatBetween(500, 5000), floatBetween(2, 6), choiceOf("", "back", "ahead"))},
	{"hup", true, formatFields(`share = %.2f, gap_s = %.1f`, floatBetween(0.2, 1), floatBetween(0.1, 1))},
	{"node_cut", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.4), floatBetween(1, 6), choiceOf("", "all", "servers"))},
	{"core_cut", false, formatFields(`count = %d, for_s = %.1f, how = %q`, countUpTo(2), floatBetween(1, 6), choiceOf("", "leader", "reader", "giver", "all", "near", "one_way", "split", "both", "lure", "relieve", "leader race drain hard", "leader meet", "turn meet", "seeds"))},
	{"node_kill", false, formatFields(`count = %d, for_s = %.1f, how = %q`, countUpTo(3), floatBetween(1, 5), choiceOf("", "power", "leader", "leader race drain hard", "giver", "power giver drain", "meet"))},
	{"node_freeze", false, formatFields(`count = %d, for_s = %.1f, how = %q`, countUpTo(2), floatBetween(0.5, 6), choiceOf("", "leader", "giver", "leader race drain hard", "leader meet"))},
	{"herd_kill", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.3, 0.9), floatBetween(1, 3), choiceOf("", "power"))},
	{"roll_term", true, formatFields(`share = %.2f, x = %d, gap_s = %.1f, how = %q`, floatBetween(0.3, 1), countUpTo(2), floatBetween(0.5, 3), choiceOf("", "busy", "drain"))},
	{"add_nodes", true, formatFields(`share = %.2f`, floatBetween(0.3, 1))},
	{"reset_conns", false, formatFields(`share = %.2f, x = %.2f`, floatBetween(0.1, 0.6), floatBetween(0.2, 0.9))},
	{"lossy", false, formatFields(`x = %.3f, for_s = %.1f`, floatBetween(0.01, 0.08), floatBetween(2, 6))},
	{"platform_down", false, formatFields(`for_s = %.1f, how = %q`, floatBetween(0.5, 6), choiceOf("", "silent", "busy", "reset"))},
	{"platform_slow", false, formatFields(`x = %.0f, for_s = %.1f`, floatBetween(20, 120), floatBetween(1, 6))},
	{"platform_lost", false, formatFields(`x = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.6), floatBetween(2, 6), choiceOf("", "late"))},
	{"platform_compact", false, formatFields(`x = %.1f, for_s = %.1f, how = %q`, floatBetween(1, 4), floatBetween(1, 6), choiceOf("", "drain"))},
	{"config_change", true, formatFields(`how = %q`, choiceOf("route", "weights", "timeout", "idle"))},
	{"config_storm", true, formatFields(`for_s = %.1f, gap_s = %.2f`, floatBetween(0.5, 2), floatBetween(0.05, 0.4))},
	{"big_config", true, formatFields(`count = %d`, func(random *rand.Rand) any { return 50 + random.IntN(400) })},
	{"model_shift", true, formatFields(`count = %d, for_s = %.1f`, countUpTo(4), floatBetween(1, 6))},
	{"applied_late", false, formatFields(`x = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.6), floatBetween(3, 10), choiceOf("orders", "all"))},
	{"srv_crash", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.35), floatBetween(1, 5), choiceOf("", "dark", "gone", "rack"))},
	{"srv_slow", false, formatFields(`share = %.2f, x = %.1f, for_s = %.1f`, floatBetween(0.1, 0.5), floatBetween(2, 8), floatBetween(2, 6))},
	{"srv_grey", false, formatFields(`share = %.2f, x = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.6), floatBetween(0.2, 0.9), floatBetween(2, 6), choiceOf("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors all"))},
	{"release", true, formatFields(`share = %.2f, x = 1, gap_s = %.1f`, floatBetween(0.1, 0.5), floatBetween(0.3, 1))},
	{"scale_in", true, formatFields(`share = %.2f, x = %.1f, how = %q`, floatBetween(0.1, 0.3), floatBetween(1, 3), choiceOf("", "spot", "reclaim"))},
	{"answer_lost", false, formatFields(`share = %.2f, x = %.2f, for_s = %.1f, how = %q`, floatBetween(0.2, 0.8), floatBetween(0.03, 0.4), floatBetween(2, 6), choiceOf("", "reset"))},
	{"garble", false, formatFields(`share = %.2f, x = %.3f, for_s = %.1f, how = %q`, floatBetween(0.2, 0.6), floatBetween(0.01, 0.2), floatBetween(2, 6), choiceOf("", "extra", "unframed", "early"))},
	{"burst", false, formatFields(`x = %.1f, for_s = %.1f`, floatBetween(1.3, 4), floatBetween(1, 5))},
	{"shift", false, formatFields(`share = %.2f, for_s = %.1f`, floatBetween(0.2, 0.7), floatBetween(2, 6))},
	{"retry_abuse", false, formatFields(`share = %.2f, x = %.1f, for_s = %.1f`, floatBetween(0.1, 0.4), floatBetween(2, 4), floatBetween(2, 6))},
	{"give_up", false, formatFields(`share = %.2f, for_s = %.1f`, floatBetween(0.1, 0.4), floatBetween(2, 6))},
}

// extraEventKinds are drawn only with -more, so that saved seeds keep generating
// the same days as before these kinds were added.
var extraEventKinds = []eventKind{
	{"srv_lying_health", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.4), floatBetween(2, 8), choiceOf("errors", "hang", "reset", "bad"))},
	{"srv_flap", false, formatFields(`share = %.2f, for_s = %.1f, gap_s = %.1f`, floatBetween(0.1, 0.4), floatBetween(3, 10), floatBetween(0.3, 2))},
	{"idle_race", false, formatFields(`share = %.2f, x = %.0f, for_s = %.1f`, floatBetween(0.3, 1), floatBetween(100, 1000), floatBetween(3, 10))},
	{"platform_down", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.2, 0.6), floatBetween(1, 8), choiceOf("nodes", "nodes busy", "nodes many", "nodes reset", "nodes leader"))},
	{"node_cut", false, formatFields(`share = %.2f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.3), floatBetween(1, 6), choiceOf("", "all", "servers"))},
	{"core_cut", false, formatFields(`count = %d, for_s = %.1f, how = %q`, countUpTo(3), floatBetween(1, 8), choiceOf("reader", "turn", "reader meet", "turn race hard", "leader all"))},
	{"scale_in", true, formatFields(`share = %.2f, x = %.1f, for_s = %.1f, how = %q`, floatBetween(0.1, 0.3), floatBetween(1, 3), floatBetween(2, 8), choiceOf("reclaim dry", "spot"))},
	{"release", true, formatFields(`share = %.2f, x = %d, gap_s = %.1f`, floatBetween(0.3, 1), countUpTo(4), floatBetween(0.2, 0.8))},
}

// Troubles begin within these seconds of a day's traffic.
const firstTrouble, lastTrouble = 0.3, 31.0

func main() {
	more := flag.Bool("more", false, "draw also the kinds of troubles that came later")
	openContracts := flag.String("contracts", "", "the contracts beyond the common ones that are open, separated by commas")
	seed := flag.Uint64("seed", 1, "the day's seed")
	eventCount := flag.Int("troubles", 14, "how many troubles the day has")
	within := flag.Float64("within", 0, "gather the troubles within so many seconds; 0 spreads them over the day")
	only := flag.String("kinds", "", "draw only these kinds, separated by commas")
	flag.Parse()
	random := rand.New(rand.NewPCG(*seed, 0x5eed))
	if *more {
		for _, extra := range extraEventKinds {
			needed := requiredContracts[extra.kind]
			if needed == "" || slices.Contains(strings.Split(*openContracts, ","), needed) {
				eventKinds = append(eventKinds, extra)
			}
		}
	}
	candidates := selectKinds(*only)
	if len(candidates) == 0 {
		fmt.Fprintln(os.Stderr, "drawday: no such kind")
		os.Exit(2)
	}
	earliest, latest := firstTrouble, lastTrouble
	if *within > 0 {
		earliest = uniform(random, firstTrouble, max(firstTrouble, lastTrouble-*within))
		latest = min(lastTrouble, earliest+*within)
	}
	var plan, faults []string
	for range *eventCount {
		drawn := candidates[random.IntN(len(candidates))]
		entry := fmt.Sprintf("  { kind = %q, at = %.2f, %s },", drawn.kind, uniform(random, earliest, latest), drawn.drawFields(random))
		if drawn.planned {
			plan = append(plan, entry)
		} else {
			faults = append(faults, entry)
		}
	}
	fmt.Printf("name = \"drawn-%d\"\nslot = \"scale\"\nseed = %d\n", *seed, *seed)
	fmt.Printf("closing = { kind = %q, down_s = %.1f }\n", pick(random, "power_off_all", "kill_all"), uniform(random, 1, 2))
	fmt.Printf("plan = [\n%s\n]\nfaults = [\n%s\n]\n", strings.Join(plan, "\n"), strings.Join(faults, "\n"))
}

func selectKinds(only string) []eventKind {
	if only == "" {
		return eventKinds
	}
	var selected []eventKind
	for _, candidate := range eventKinds {
		for kind := range strings.SplitSeq(only, ",") {
			if kind == candidate.kind {
				selected = append(selected, candidate)
			}
		}
	}
	return selected
}

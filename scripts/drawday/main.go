// Command drawday draws a day of troubles for the operators' bench from a seed:
// kinds that may come anywhere, at any moment, more than once and together. It
// prints the day as TOML. The same seed draws the same day.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
)

// trouble draws the fields of one kind of trouble beside its start.
type trouble struct {
	kind    string
	planned bool
	fields  func(random *rand.Rand) string
}

// contracts are the contracts beyond the common ones under which a kind may
// come.
var contracts = map[string]string{"srv_lying_health": "health", "srv_flap": "health", "idle_race": "pool"}

func between(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

func oneOf(random *rand.Rand, words ...string) string {
	return words[random.IntN(len(words))]
}

func fields(format string, draw ...func(*rand.Rand) any) func(*rand.Rand) string {
	return func(random *rand.Rand) string {
		values := make([]any, 0, len(draw))
		for _, one := range draw {
			values = append(values, one(random))
		}
		return fmt.Sprintf(format, values...)
	}
}

func number(low, high float64) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return between(random, low, high) }
}

func word(words ...string) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return oneOf(random, words...) }
}

func count(most int) func(*rand.Rand) any {
	return func(random *rand.Rand) any { return 1 + random.IntN(most) }
}

var troubles = []trouble{
	{"srv_cut", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.4), number(1, 6), word("", "fronts", "some", "one_way", "reset"))},
	{"replace_with_reuse", false, fields(`share = %.2f, how = %q`, number(0.1, 0.3), word("", "drain", "dark"))},
	{"scale_out", true, fields(`share = %.2f, gap_s = %.1f`, number(0.1, 0.4), number(0.2, 1))},
	{"node_slow", false, fields(`share = %.2f, x = %.1f, for_s = %.1f`, number(0.1, 0.4), number(2, 8), number(2, 6))},
	{"after_ack_kill", false, fields(`count = %d, for_s = %.1f, how = %q`, count(3), number(1, 4), word("", "kill", "timed", "taken"))},
	{"clock_step", false, fields(`share = %.2f, x = %.0f, for_s = %.1f, how = %q`, number(0.1, 0.5), number(500, 5000), number(2, 6), word("", "back", "ahead"))},
	{"hup", true, fields(`share = %.2f, gap_s = %.1f`, number(0.2, 1), number(0.1, 1))},
	{"node_cut", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.4), number(1, 6), word("", "all", "servers"))},
	{"core_cut", false, fields(`count = %d, for_s = %.1f, how = %q`, count(2), number(1, 6), word("", "leader", "reader", "giver", "all", "near", "one_way", "split", "both", "lure", "relieve", "leader race drain hard", "leader meet", "turn meet", "seeds"))},
	{"node_kill", false, fields(`count = %d, for_s = %.1f, how = %q`, count(3), number(1, 5), word("", "power", "leader", "leader race drain hard", "giver", "power giver drain", "meet"))},
	{"node_freeze", false, fields(`count = %d, for_s = %.1f, how = %q`, count(2), number(0.5, 6), word("", "leader", "giver", "leader race drain hard", "leader meet"))},
	{"herd_kill", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.3, 0.9), number(1, 3), word("", "power"))},
	{"roll_term", true, fields(`share = %.2f, x = %d, gap_s = %.1f, how = %q`, number(0.3, 1), count(2), number(0.5, 3), word("", "busy", "drain"))},
	{"add_nodes", true, fields(`share = %.2f`, number(0.3, 1))},
	{"reset_conns", false, fields(`share = %.2f, x = %.2f`, number(0.1, 0.6), number(0.2, 0.9))},
	{"lossy", false, fields(`x = %.3f, for_s = %.1f`, number(0.01, 0.08), number(2, 6))},
	{"platform_down", false, fields(`for_s = %.1f, how = %q`, number(0.5, 6), word("", "silent", "busy", "reset"))},
	{"platform_slow", false, fields(`x = %.0f, for_s = %.1f`, number(20, 120), number(1, 6))},
	{"platform_lost", false, fields(`x = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.6), number(2, 6), word("", "late"))},
	{"platform_compact", false, fields(`x = %.1f, for_s = %.1f, how = %q`, number(1, 4), number(1, 6), word("", "drain"))},
	{"config_change", true, fields(`how = %q`, word("route", "weights", "timeout", "idle"))},
	{"config_storm", true, fields(`for_s = %.1f, gap_s = %.2f`, number(0.5, 2), number(0.05, 0.4))},
	{"big_config", true, fields(`count = %d`, func(random *rand.Rand) any { return 50 + random.IntN(400) })},
	{"model_shift", true, fields(`count = %d, for_s = %.1f`, count(4), number(1, 6))},
	{"applied_late", false, fields(`x = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.6), number(3, 10), word("orders", "all"))},
	{"srv_crash", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.35), number(1, 5), word("", "dark", "gone", "rack"))},
	{"srv_slow", false, fields(`share = %.2f, x = %.1f, for_s = %.1f`, number(0.1, 0.5), number(2, 8), number(2, 6))},
	{"srv_grey", false, fields(`share = %.2f, x = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.6), number(0.2, 0.9), number(2, 6), word("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors all"))},
	{"release", true, fields(`share = %.2f, x = 1, gap_s = %.1f`, number(0.1, 0.5), number(0.3, 1))},
	{"scale_in", true, fields(`share = %.2f, x = %.1f, how = %q`, number(0.1, 0.3), number(1, 3), word("", "spot", "reclaim"))},
	{"answer_lost", false, fields(`share = %.2f, x = %.2f, for_s = %.1f, how = %q`, number(0.2, 0.8), number(0.03, 0.4), number(2, 6), word("", "reset"))},
	{"garble", false, fields(`share = %.2f, x = %.3f, for_s = %.1f, how = %q`, number(0.2, 0.6), number(0.01, 0.2), number(2, 6), word("", "extra", "unframed", "early"))},
	{"burst", false, fields(`x = %.1f, for_s = %.1f`, number(1.3, 4), number(1, 5))},
	{"shift", false, fields(`share = %.2f, for_s = %.1f`, number(0.2, 0.7), number(2, 6))},
	{"retry_abuse", false, fields(`share = %.2f, x = %.1f, for_s = %.1f`, number(0.1, 0.4), number(2, 4), number(2, 6))},
	{"give_up", false, fields(`share = %.2f, for_s = %.1f`, number(0.1, 0.4), number(2, 6))},
}

// moreTroubles are drawn only where asked for: kept seeds draw the days that they
// drew before these were known.
var moreTroubles = []trouble{
	{"srv_lying_health", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.4), number(2, 8), word("errors", "hang", "reset", "bad"))},
	{"srv_flap", false, fields(`share = %.2f, for_s = %.1f, gap_s = %.1f`, number(0.1, 0.4), number(3, 10), number(0.3, 2))},
	{"idle_race", false, fields(`share = %.2f, x = %.0f, for_s = %.1f`, number(0.3, 1), number(100, 1000), number(3, 10))},
	{"platform_down", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.2, 0.6), number(1, 8), word("nodes", "nodes busy", "nodes many", "nodes reset", "nodes leader"))},
	{"node_cut", false, fields(`share = %.2f, for_s = %.1f, how = %q`, number(0.1, 0.3), number(1, 6), word("", "all", "servers"))},
	{"core_cut", false, fields(`count = %d, for_s = %.1f, how = %q`, count(3), number(1, 8), word("reader", "turn", "reader meet", "turn race hard", "leader all"))},
	{"scale_in", true, fields(`share = %.2f, x = %.1f, for_s = %.1f, how = %q`, number(0.1, 0.3), number(1, 3), number(2, 8), word("reclaim dry", "spot"))},
	{"release", true, fields(`share = %.2f, x = %d, gap_s = %.1f`, number(0.3, 1), count(4), number(0.2, 0.8))},
}

func main() {
	more := flag.Bool("more", false, "draw also the kinds of troubles that came later")
	open := flag.String("contracts", "", "the contracts beyond the common ones that are open, separated by commas")
	seed := flag.Uint64("seed", 1, "the day's seed")
	amount := flag.Int("troubles", 14, "how many troubles the day has")
	only := flag.String("kinds", "", "draw only these kinds, separated by commas")
	flag.Parse()
	random := rand.New(rand.NewPCG(*seed, 0x5eed))
	if *more {
		for _, known := range moreTroubles {
			needed := contracts[known.kind]
			if needed == "" || slices.Contains(strings.Split(*open, ","), needed) {
				troubles = append(troubles, known)
			}
		}
	}
	choice := chosen(*only)
	if len(choice) == 0 {
		fmt.Fprintln(os.Stderr, "drawday: no such kind")
		os.Exit(2)
	}
	var plan, faults []string
	for range *amount {
		drawn := choice[random.IntN(len(choice))]
		entry := fmt.Sprintf("  { kind = %q, at = %.2f, %s },", drawn.kind, between(random, 0.3, 31), drawn.fields(random))
		if drawn.planned {
			plan = append(plan, entry)
		} else {
			faults = append(faults, entry)
		}
	}
	fmt.Printf("name = \"drawn-%d\"\nslot = \"scale\"\nseed = %d\n", *seed, *seed)
	fmt.Printf("closing = { kind = %q, down_s = %.1f }\n", oneOf(random, "power_off_all", "kill_all"), between(random, 1, 2))
	fmt.Printf("plan = [\n%s\n]\nfaults = [\n%s\n]\n", strings.Join(plan, "\n"), strings.Join(faults, "\n"))
}

func chosen(only string) []trouble {
	if only == "" {
		return troubles
	}
	var some []trouble
	for _, known := range troubles {
		for kind := range strings.SplitSeq(only, ",") {
			if kind == known.kind {
				some = append(some, known)
			}
		}
	}
	return some
}

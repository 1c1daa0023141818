package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// Phases of a scenario.
const (
	PhaseBurst  = "burst"
	PhaseSteady = "steady"
	PhaseRepeat = "repeat"
	PhaseLong   = "long"
	PhaseBad    = "bad"
)

// PlanOptions shape a plan. The same options give the same plan.
type PlanOptions struct {
	Seed uint64
	// RunID makes keys and prompts differ between runs against one system.
	RunID    string
	Nodes    []string
	Classes  Classes
	Profile  Profile
	Duration time.Duration
	// LongAt is when long streams are begun at every node, so that some are in
	// progress at the moments after it; zero for never.
	LongAt time.Duration
	// Rate is the mean number of requests a second of the steady traffic.
	Rate float64
}

// planner draws one plan.
type planner struct {
	PlanOptions
	random *rand.Rand
	calls  []Call
	serial int
}

// Plan draws the calls of a scenario, in the order of their sending: steady
// traffic with exponential gaps from the start on, bursts of first requests
// for models that nothing else asks for, and commands whose key is sent
// through several nodes at the same moment.
func Plan(options PlanOptions) []Call {
	p := &planner{
		PlanOptions: options,
		random:      rand.New(rand.NewPCG(options.Seed, 0x6c6f6164)),
	}
	cold, warm := p.splitModels()
	p.bursts(cold)
	p.steady(warm)
	p.repeats()
	p.longStreams(warm)
	p.badRequests()
	slices.SortStableFunc(p.calls, func(a, b Call) int { return int(a.At - b.At) })
	return p.calls
}

// splitModels sets models apart for the bursts: they are not kept standing,
// and no other class shares a model version with them.
func (p *planner) splitModels() (cold, warm []Class) {
	shuffled := slices.Clone(p.Classes.Models)
	p.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	taken := make(map[fleet.ModelVersion]bool)
	for _, class := range shuffled {
		if len(cold) < p.Profile.Bursts && len(class.Targets) > 0 && !class.Standing && !class.sharesModel(taken) {
			cold = append(cold, class)
			for _, target := range class.Targets {
				taken[target.Model] = true
			}
		}
	}
	for _, class := range shuffled {
		if !class.sharesModel(taken) {
			warm = append(warm, class)
		}
	}
	return cold, warm
}

// bursts spreads the bursts over the first half of the run, the first at the
// very start, when nothing is loaded yet.
func (p *planner) bursts(cold []Class) {
	for index, class := range cold {
		at := p.Duration * time.Duration(index) / time.Duration(2*len(cold))
		for _, node := range p.Nodes {
			for range p.Profile.BurstPerNode {
				p.add(p.modelCall(class, PhaseBurst, node, at))
			}
		}
	}
}

// steady draws arrivals with exponential gaps.
func (p *planner) steady(warm []Class) {
	if p.Rate <= 0 {
		return
	}
	popularity := rand.NewZipf(p.random, p.Profile.Popularity, 1, uint64(max(len(warm), 1)-1))
	at := time.Duration(0)
	for {
		gap := p.random.ExpFloat64() / p.Rate
		at += time.Duration(gap * float64(time.Second))
		if at >= p.Duration {
			return
		}
		node := p.Nodes[p.random.IntN(len(p.Nodes))]
		isCommand := p.random.Float64() < p.Profile.CommandShare
		switch {
		case isCommand && len(p.Classes.Services) > 0:
			p.add(p.plainCall(node, at))
		case len(warm) > 0:
			p.add(p.modelCall(warm[popularity.Uint64()], PhaseSteady, node, at))
		}
	}
}

// repeats sends one key through several nodes at the same moment, again and
// again over the run, and once more a little later.
func (p *planner) repeats() {
	templates := p.commandTemplates()
	if len(templates) == 0 || p.Profile.Repeats == 0 {
		return
	}
	for index := range p.Profile.Repeats {
		at := p.Duration * time.Duration(index) / time.Duration(p.Profile.Repeats)
		template := templates[p.random.IntN(len(templates))]
		first := p.commandCall(template, PhaseRepeat, "", at, true)
		order := p.random.Perm(len(p.Nodes))
		copies := min(p.Profile.RepeatCopies, len(order))
		for _, node := range order[:copies] {
			repeated := first
			repeated.Node = p.Nodes[node]
			p.add(repeated)
		}
		late := first
		late.Node = p.Nodes[order[0]]
		late.At += repeatDelay
		p.add(late)
	}
}

// badRequests asks each node for a model that is not declared. Nothing can run
// then, so that each run has refusals that must say so.
func (p *planner) badRequests() {
	undeclared := Class{Name: "undeclared", Model: undeclaredModel, Deadline: defaultModelDeadline}
	for index, node := range p.Nodes {
		at := p.Duration / 10 * time.Duration(index) / time.Duration(len(p.Nodes))
		p.add(p.modelCall(undeclared, PhaseBad, node, at))
	}
}

// undeclaredModel is what no example declares.
const undeclaredModel = "no-such-model"

// longTokens make a stream last for some seconds.
const longTokens = 300

// longStreams asks for the most wanted models, which are most likely ready.
func (p *planner) longStreams(warm []Class) {
	if p.LongAt == 0 || len(warm) == 0 {
		return
	}
	for _, node := range p.Nodes {
		for index := range p.Profile.LongPerNode {
			call := p.modelCall(warm[index%len(warm)], PhaseLong, node, p.LongAt)
			call.Kind, call.MaxTokens = history.KindStream, longTokens
			p.add(call)
		}
	}
}

// repeatDelay is when a caller that did not hear asks again.
const repeatDelay = 2 * time.Second

func (p *planner) add(call Call) {
	p.calls = append(p.calls, call)
}

func (p *planner) next() int {
	p.serial++
	return p.serial
}

// name makes a name that no other run uses.
func (p *planner) name(prefix string) string {
	return fmt.Sprintf("%s-%s-%06d", prefix, p.RunID, p.next())
}

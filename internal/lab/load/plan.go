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

// PlanOptions configure a plan. The same options produce the same plan.
type PlanOptions struct {
	Seed uint64
	// RunID makes keys and prompts unique among runs against the same system.
	RunID    string
	Nodes    []string
	Classes  Classes
	Profile  Profile
	Duration time.Duration
	// LongAt is when long streams are started at every node, so that some are
	// in progress during the following seconds. Zero starts none.
	LongAt time.Duration
	// Rate is the mean request rate of the steady traffic, per second.
	Rate float64
}

// planner generates one plan.
type planner struct {
	PlanOptions
	random *rand.Rand
	calls  []Call
	serial int
}

// Plan generates the calls of a scenario, in the order of sending: steady traffic
// with exponentially distributed gaps, bursts of requests for models that
// are not requested otherwise, commands whose key is sent through several nodes
// at the same time, long streams, and requests for an undeclared model.
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

// splitModels reserves classes for the bursts (cold). They have no standing
// replicas and share no model version with the classes of the steady traffic
// (warm), so that their first requests need a model load.
func (p *planner) splitModels() (cold, warm []Class) {
	shuffled := slices.Clone(p.Classes.Models)
	p.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	reserved := make(map[fleet.ModelVersion]bool)
	for _, class := range shuffled {
		if len(cold) < p.Profile.Bursts && len(class.Targets) > 0 && !class.Standing && !class.sharesModel(reserved) {
			cold = append(cold, class)
			for _, target := range class.Targets {
				reserved[target.Model] = true
			}
		}
	}
	for _, class := range shuffled {
		if !class.sharesModel(reserved) {
			warm = append(warm, class)
		}
	}
	return cold, warm
}

// bursts spreads the bursts over the first half of the run. The first one is at
// the start, when no model is loaded yet.
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

// steady generates arrivals with exponentially distributed gaps.
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
			p.add(p.serviceCall(node, at))
		case len(warm) > 0:
			p.add(p.modelCall(warm[popularity.Uint64()], PhaseSteady, node, at))
		}
	}
}

// repeats adds commands at regular intervals over the run. The key of each is
// sent through several nodes at the same time, and once more after repeatDelay.
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
		laterCopy := first
		laterCopy.Node = p.Nodes[order[0]]
		laterCopy.At += repeatDelay
		p.add(laterCopy)
	}
}

// badRequests asks each node for a model that is not declared. Such a request
// can't run, so every plan has requests that must be refused as not run.
func (p *planner) badRequests() {
	undeclared := Class{Name: "undeclared", Model: undeclaredModel, Deadline: defaultModelDeadline}
	for index, node := range p.Nodes {
		at := p.Duration / 10 * time.Duration(index) / time.Duration(len(p.Nodes))
		p.add(p.modelCall(undeclared, PhaseBad, node, at))
	}
}

// undeclaredModel is a model name that no example configuration declares.
const undeclaredModel = "no-such-model"

// longStreamTokens is enough for a stream to last several seconds.
const longStreamTokens = 300

// longStreams adds long streams of the most popular models, which are most
// likely loaded.
func (p *planner) longStreams(warm []Class) {
	if p.LongAt == 0 || len(warm) == 0 {
		return
	}
	for _, node := range p.Nodes {
		for index := range p.Profile.LongPerNode {
			call := p.modelCall(warm[index%len(warm)], PhaseLong, node, p.LongAt)
			call.Kind, call.MaxTokens = history.KindStream, longStreamTokens
			p.add(call)
		}
	}
}

// repeatDelay is after how long a caller without an answer sends a command again.
const repeatDelay = 2 * time.Second

func (p *planner) add(call Call) {
	p.calls = append(p.calls, call)
}

func (p *planner) nextSerial() int {
	p.serial++
	return p.serial
}

// uniqueName returns a name that is unique among all runs.
func (p *planner) uniqueName(prefix string) string {
	return fmt.Sprintf("%s-%s-%06d", prefix, p.RunID, p.nextSerial())
}

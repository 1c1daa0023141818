package load

import (
	"fmt"
	"maps"
	"slices"
)

// Profile is the shape of one user's traffic. Which models and services there
// are comes from the declarations.
type Profile struct {
	Name string
	// Popularity is the exponent of the Zipf distribution over the models.
	Popularity float64
	// Bursts counts models whose first requests come at all nodes at once,
	// BurstPerNode the requests of each at each node.
	Bursts       int
	BurstPerNode int
	// Repeats counts commands whose key goes through RepeatCopies nodes at
	// the same moment.
	Repeats      int
	RepeatCopies int
	// LongPerNode counts the long streams begun at each node at one moment.
	LongPerNode int
	// Shares of the steady traffic, from 0 to 1. CommandShare is of all;
	// LookupShare and KeyShare are of the plain calls and commands;
	// WholeShare and CompletionsShare are of the model requests.
	CommandShare     float64
	LookupShare      float64
	KeyShare         float64
	WholeShare       float64
	CompletionsShare float64
	// MinTokens and MaxTokens bound the length asked for.
	MinTokens int
	MaxTokens int
	// PrefixRepeats sets the length of the prefix that prompts share.
	PrefixRepeats int
	Question      string
	// Commands and Lookups are path endings by the path prefix of a service.
	Commands map[string][]string
	Lookups  map[string][]string
}

var (
	defaultCommands = []string{"/confirm"}
	defaultLookups  = []string{"/status"}
)

// profiles are the workloads of the brief.
var profiles = map[string]Profile{
	"fjordkurv": {
		Name: "fjordkurv", Popularity: 1.2, Bursts: 4, BurstPerNode: 2,
		Repeats: 12, RepeatCopies: 4, LongPerNode: 2,
		CommandShare: 0.3, LookupShare: 0.5, KeyShare: 0.7,
		WholeShare: 0.2, CompletionsShare: 0.2,
		MinTokens: 8, MaxTokens: 48, PrefixRepeats: 8,
		Question: "Draft the box swaps of household",
		Commands: map[string][]string{"/boxes/": {"/confirmation"}},
		Lookups:  map[string][]string{"/slots/": {"/free"}},
	},
	"holmgaard": {
		Name: "holmgaard", Popularity: 1.1, Bursts: 4, BurstPerNode: 2,
		Repeats: 12, RepeatCopies: 4, LongPerNode: 2,
		CommandShare: 0.4, LookupShare: 0.5, KeyShare: 0.5,
		WholeShare: 0.2, CompletionsShare: 0.2,
		MinTokens: 8, MaxTokens: 64, PrefixRepeats: 16,
		Question: "Write the fault report of turbine",
		Commands: map[string][]string{"/turbines/": {"/stop", "/yaw"}},
		Lookups:  map[string][]string{"/turbines/": {"/ping"}},
	},
}

// FindProfile returns a profile by its name.
func FindProfile(name string) (Profile, error) {
	profile, known := profiles[name]
	if !known {
		return Profile{}, fmt.Errorf("profile %q is not known; there are %v", name, slices.Sorted(maps.Keys(profiles)))
	}
	return profile, nil
}

// knowsService reports whether the profile has calls of its own for a service.
func (p Profile) knowsService(pathPrefix string) bool {
	_, commands := p.Commands[pathPrefix]
	_, lookups := p.Lookups[pathPrefix]
	return commands || lookups
}

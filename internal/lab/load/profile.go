package load

import (
	"fmt"
	"maps"
	"slices"
)

// Profile describes the traffic of one workload. The models and services come
// from the declared objects.
type Profile struct {
	Name string
	// Popularity is the exponent of the Zipf distribution over the models.
	Popularity float64
	// Bursts is the number of model classes that are first requested at all nodes
	// at the same time, and BurstPerNode the number of requests per node in each
	// burst.
	Bursts       int
	BurstPerNode int
	// Repeats is the number of commands whose key is sent through RepeatCopies
	// nodes at the same time.
	Repeats      int
	RepeatCopies int
	// LongPerNode is the number of long streams started at each node.
	LongPerNode int
	// Shares of the steady traffic, from 0 to 1. CommandShare is the share of
	// service calls among all requests, LookupShare that of lookups among service
	// calls, and KeyShare that of commands with a key among commands. WholeShare
	// and CompletionsShare are shares of the model requests.
	CommandShare     float64
	LookupShare      float64
	KeyShare         float64
	WholeShare       float64
	CompletionsShare float64
	// MinTokens and MaxTokens are the range of max_tokens in model requests.
	MinTokens int
	MaxTokens int
	// PrefixRepeats determines the length of the prefix that prompts share.
	PrefixRepeats int
	Question      string
	// Commands and Lookups are path suffixes by the path prefix of a service.
	Commands map[string][]string
	Lookups  map[string][]string
}

var (
	defaultCommands = []string{"/confirm"}
	defaultLookups  = []string{"/status"}
)

// profiles are the predefined workloads by name.
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

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, error) {
	profile, known := profiles[name]
	if !known {
		return Profile{}, fmt.Errorf("profile %q is not known; there are %v", name, slices.Sorted(maps.Keys(profiles)))
	}
	return profile, nil
}

// hasService reports whether the profile lists calls for a service.
func (p Profile) hasService(pathPrefix string) bool {
	_, commands := p.Commands[pathPrefix]
	_, lookups := p.Lookups[pathPrefix]
	return commands || lookups
}

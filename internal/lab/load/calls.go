package load

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// Paths of the API for callers.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// modelCall generates a random request for a model.
func (p *planner) modelCall(class Class, phase, node string, at time.Duration) Call {
	call := Call{
		At: at, Phase: phase, Node: node, Class: class,
		Kind: history.KindStream, Method: http.MethodPost, Path: pathChat,
		Prompt:    p.prompt(class),
		MaxTokens: p.Profile.MinTokens + p.random.IntN(p.Profile.MaxTokens-p.Profile.MinTokens+1),
	}
	if p.random.Float64() < p.Profile.WholeShare {
		call.Kind = history.KindWhole
	}
	if p.random.Float64() < p.Profile.CompletionsShare {
		call.Path = pathCompletions
	}
	return call
}

// prompt returns a prompt that shares a prefix with the other prompts of its
// class, so that prefix caches have hits, and has a unique ending.
func (p *planner) prompt(class Class) string {
	prefix := strings.Repeat(class.Name+" instructions. ", p.Profile.PrefixRepeats)
	return fmt.Sprintf("%s%s %s", prefix, p.Profile.Question, p.uniqueName("case"))
}

// serviceCall generates a random service call, a command or a lookup.
func (p *planner) serviceCall(node string, at time.Duration) Call {
	commands, lookups := p.commandTemplates(), p.lookupTemplates()
	if len(lookups) > 0 && (len(commands) == 0 || p.random.Float64() < p.Profile.LookupShare) {
		return p.lookupCall(lookups[p.random.IntN(len(lookups))], node, at)
	}
	withKey := p.random.Float64() < p.Profile.KeyShare
	return p.commandCall(commands[p.random.IntN(len(commands))], PhaseSteady, node, at, withKey)
}

// template is a possible call of a declared service.
type template struct {
	class  Class
	suffix string
}

func (p *planner) commandTemplates() []template {
	return p.templates(p.Profile.Commands, defaultCommands)
}

func (p *planner) lookupTemplates() []template {
	return p.templates(p.Profile.Lookups, defaultLookups)
}

// templates pairs each declared service with the path suffixes that the profile
// lists for it. Services that the profile doesn't list get the default suffixes.
func (p *planner) templates(byPrefix map[string][]string, byDefault []string) []template {
	var templates []template
	for _, class := range p.Classes.Services {
		suffixes, known := byPrefix[class.PathPrefix]
		if !known && !p.Profile.hasService(class.PathPrefix) {
			suffixes = byDefault
		}
		for _, suffix := range suffixes {
			templates = append(templates, template{class: class, suffix: suffix})
		}
	}
	return templates
}

func (p *planner) commandCall(template template, phase, node string, at time.Duration, withKey bool) Call {
	subject := p.uniqueName("subject")
	call := Call{
		At: at, Phase: phase, Node: node, Class: template.class,
		Kind: history.KindCommand, Method: http.MethodPost,
		Path: template.class.PathPrefix + subject + template.suffix,
		Body: fmt.Sprintf(`{"subject":%q}`, subject),
	}
	if withKey {
		call.Key = p.uniqueName("key")
	}
	return call
}

func (p *planner) lookupCall(template template, node string, at time.Duration) Call {
	return Call{
		At: at, Phase: PhaseSteady, Node: node, Class: template.class,
		Kind: history.KindLookup, Method: http.MethodGet,
		Path: template.class.PathPrefix + p.uniqueName("subject") + template.suffix,
	}
}

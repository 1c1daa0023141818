package faults

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/collect"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/load"
)

// TestGivenUpRequestIsAnsweredAtOnce requests a model that no engine can hold. The final
// answer must not be delayed until near the deadline, and must say when to retry.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.replaceOnce(folder, "models.yaml", "{name: v1, memory: 12GiB, checkpoint: 12GiB}", "{name: v1, memory: 500GiB, checkpoint: 500GiB}")
	f.awaitVersion(f.nodes[0], f.apply(folder, "too large").Version)
	class := f.class("deployment/recipes")
	for index, node := range f.nodes {
		record := load.NewClient().Send(t.Context(), load.Call{
			Node: node.caller(), Kind: history.KindStream, Class: class, Method: "POST", Path: "/v1/chat/completions",
			Prompt: "what is left", MaxTokens: 8,
		}, fleet.RequestID("given-up-"+string(node.settings.Name)))
		t.Logf("%s %s after %s of %s, Retry-After %q", record.Outcome, record.Code, record.Took(), record.Deadline, record.RetryAfter)
		if record.Outcome != history.NotRun || record.RetryAfter == "" {
			t.Errorf("request %d ended with %s %q, Retry-After %q", index, record.Outcome, record.Error, record.RetryAfter)
		}
		if limit := record.Deadline / 2; record.Took() > limit {
			t.Errorf("request %d got its answer after %s of %s", index, record.Took(), record.Deadline)
		}
	}
}

// class returns the traffic class with the given name.
func (f *testFleet) class(name string) load.Class {
	f.Helper()
	collector := collect.New(collect.Options{Platform: f.platform})
	collector.Finish(f.Context())
	classes, err := load.ReadClasses(collector.Objects())
	if err != nil {
		f.Fatal(err)
	}
	for _, class := range classes.Models {
		if class.Name == name {
			return class
		}
	}
	f.Fatalf("no traffic class is named %q", name)
	return load.Class{}
}

package spec

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
)

func TestObjectsComeAfterWhatTheyReferTo(t *testing.T) {
	set, findings := Load([]string{"../../examples/holmgaard"})
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	rank := 0
	for _, declared := range set.Objects() {
		next := slices.Index(kindOrder, declared.Kind)
		if next < rank {
			t.Errorf("%s %q comes after a %s", declared.Kind, declared.Name, kindOrder[rank])
		}
		rank = next
	}
}

func TestCanonicalIgnoresOrderAndForm(t *testing.T) {
	left, err := Canonical(KindAdapter, []byte(`{"memory":"1GiB","model":"m"}`))
	if err != nil {
		t.Fatal(err)
	}
	right, err := Canonical(KindAdapter, []byte(`{ "model":"m", "memory":1073741824 }`))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(left, right) {
		t.Errorf("%s differs from %s", left, right)
	}
	if _, err := Canonical("Nothing", []byte(`{}`)); err == nil {
		t.Error("an unknown kind was accepted")
	}
}

// largeDeclarations declares adapters with a deployment and a selector each.
func largeDeclarations(adapters int) []byte {
	var content bytes.Buffer
	fmt.Fprintln(&content, "kind: Model\nmetadata: {name: base}\nspec: {versions: [{name: v1, memory: 1GiB, checkpoint: 1GiB}]}")
	for index := range adapters {
		fmt.Fprintf(&content, "---\nkind: Adapter\nmetadata: {name: a%d}\nspec: {model: base, memory: 1MiB}\n", index)
		fmt.Fprintf(&content, "---\nkind: Deployment\nmetadata: {name: d%d, labels: {household: h%d}}\nspec: {model: base, adapter: a%d, versions: [{name: v1, weight: 1}]}\n", index, index, index)
		fmt.Fprintf(&content, "---\nkind: Selector\nmetadata: {name: s%d}\nspec: {match: {matchLabels: {household: h%d}}, deployments: {matchLabels: {household: h%d}}}\n", index, index, index)
	}
	return content.Bytes()
}

func BenchmarkParseFutureSize(b *testing.B) {
	content := largeDeclarations(8700)
	for b.Loop() {
		if _, findings := (Options{}).Parse("large.yaml", content); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}

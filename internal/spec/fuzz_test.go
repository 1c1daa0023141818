package spec

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse checks that no content makes the parser panic, that each finding has a
// position and texts, and that the JSON of valid declarations decodes and encodes unchanged.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"../../examples/*/*.yaml", "testdata/seeds/*.yaml"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			f.Fatalf("no seeds at %s: %v", pattern, err)
		}
		for _, file := range files {
			content, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(content)
		}
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		set, findings := Options{ServerMemory: 48 << 30}.Parse("fuzz.yaml", content)
		for _, finding := range findings {
			if finding.Line < 1 || finding.Column < 1 || finding.Problem == "" || finding.Remedy == "" {
				t.Errorf("finding without position or text: %#v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		for _, declared := range set.Objects() {
			requireCanonical(t, declared)
		}
	})
}

// requireCanonical checks that an object's JSON is in its canonical form.
func requireCanonical(t *testing.T, declared Declared) {
	canonical, err := Canonical(declared.Kind, declared.Spec)
	if err != nil {
		t.Fatalf("%s cannot be decoded: %v", declared.Spec, err)
	}
	if string(canonical) != string(declared.Spec) {
		t.Fatalf("not canonical: %s became %s", declared.Spec, canonical)
	}
}

package spec

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse holds that no content makes reading panic, that each finding
// points into the content, and that what is valid reads back the same.
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
				t.Errorf("finding without place or text: %#v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		for _, declared := range set.Objects() {
			readBack(t, declared)
		}
	})
}

// readBack holds that an object's JSON is in its one form.
func readBack(t *testing.T, declared Declared) {
	canonical, err := Canonical(declared.Kind, declared.Spec)
	if err != nil {
		t.Fatalf("%s does not read back: %v", declared.Spec, err)
	}
	if string(canonical) != string(declared.Spec) {
		t.Fatalf("not canonical: %s became %s", declared.Spec, canonical)
	}
}

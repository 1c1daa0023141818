package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// copyExamples copies the example declarations to a folder that a test may change.
func (f *testFleet) copyExamples(name string) string {
	f.Helper()
	folder := filepath.Join(f.folder, name)
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(projectRoot, "examples", profile))); err != nil {
		f.Fatal(err)
	}
	return folder
}

// replaceOnce replaces a text that must occur exactly once in a declared file.
func (f *testFleet) replaceOnce(folder, file, before, after string) {
	f.Helper()
	f.rewriteFile(filepath.Join(folder, file), func(content string) string {
		if strings.Count(content, before) != 1 {
			f.Fatalf("%s does not contain %q exactly once", file, before)
		}
		return strings.Replace(content, before, after, 1)
	})
}

var weightPattern = regexp.MustCompile(`coldStartWeight: [0-9.]+`)

// setWeight changes a declared number that causes no model to be loaded or unloaded.
func (f *testFleet) setWeight(folder string, weight float64) {
	f.Helper()
	f.rewriteFile(filepath.Join(folder, "capacity.yaml"), func(content string) string {
		return weightPattern.ReplaceAllString(content, fmt.Sprintf("coldStartWeight: %g", weight))
	})
}

func (f *testFleet) rewriteFile(path string, change func(string) string) {
	f.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(change(string(content))), 0o600); err != nil {
		f.Fatal(err)
	}
}

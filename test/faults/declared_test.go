package faults

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// declared copies the examples to a folder that a test may change.
func (f *testFleet) declared(name string) string {
	f.Helper()
	folder := filepath.Join(f.folder, name)
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(projectRoot, "examples", profile))); err != nil {
		f.Fatal(err)
	}
	return folder
}

// redeclare replaces the only place of a text in a declared file.
func (f *testFleet) redeclare(folder, file, before, after string) {
	f.Helper()
	f.rewrite(filepath.Join(folder, file), func(content string) string {
		if strings.Count(content, before) != 1 {
			f.Fatalf("%s does not have %q once", file, before)
		}
		return strings.Replace(content, before, after, 1)
	})
}

var declaredWeight = regexp.MustCompile(`coldStartWeight: [0-9.]+`)

// setWeight changes a declared number that moves no model.
func (f *testFleet) setWeight(folder string, weight float64) {
	f.Helper()
	f.rewrite(filepath.Join(folder, "capacity.yaml"), func(content string) string {
		return declaredWeight.ReplaceAllString(content, fmt.Sprintf("coldStartWeight: %g", weight))
	})
}

func (f *testFleet) rewrite(path string, change func(string) string) {
	f.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(change(string(content))), 0o600); err != nil {
		f.Fatal(err)
	}
}

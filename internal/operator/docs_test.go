package operator

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageNamesEveryCodeAndMetric holds the page against the source:
// operators look up there what they see in answers and graphs.
func TestOperationsPageNamesEveryCodeAndMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations.md")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		file    string
		pattern string
	}{
		{"../gateway/problem.go", `(?m)^\s+code\w+\s*= "([a-z-]+)"`},
		{"../attempt/message.go", `(?m)^\s+Code\w+\s*= "([a-z-]+)"`},
		{"../queue/message.go", `(?m)^\s+Reason\w+\s+Reason = "([a-z-]+)"`},
		{"../gateway/metrics.go", `metricPrefix \+ "([a-z_]+)"`},
		{"errors.go", `(?m)^\s+Exit\w+ ExitCode = (\d)`},
	}
	for _, test := range cases {
		for _, name := range namesIn(t, test.file, test.pattern) {
			if !strings.Contains(string(page), "`"+name+"`") && !strings.Contains(string(page), "| "+name+" |") {
				t.Errorf("docs/operations.md does not name %s of %s", name, test.file)
			}
		}
	}
}

// namesIn returns what the pattern finds in a source file, which must be
// something: a source that was moved must not pass unread.
func namesIn(t *testing.T, file, pattern string) []string {
	t.Helper()
	source, err := os.ReadFile(filepath.FromSlash(file))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
		names = append(names, match[1])
	}
	if len(names) == 0 {
		t.Fatalf("%s: nothing matches %s", file, pattern)
	}
	return names
}

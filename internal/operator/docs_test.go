package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// TestOperationsPageNamesEveryCodeAndMetric checks that the operations page
// documents every code and metric in the source: operators look up there what
// they see in responses and graphs.
func TestOperationsPageNamesEveryCodeAndMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		file    string
		pattern string
		prefix  string
	}{
		{file: "../gateway/problem.go", pattern: `(?m)^\s+code\w+\s*= "([a-z-]+)"`},
		{file: "../attempt/message.go", pattern: `(?m)^\s+Code\w+\s*= "([a-z-]+)"`},
		{file: "../queue/message.go", pattern: `(?m)^\s+Reason\w+\s+Reason = "([a-z-]+)"`},
		{file: "../gateway/metrics.go", pattern: `metricPrefix \+ "([a-z_]+)"`, prefix: "spanlanding_gateway_"},
		{file: "../node/metrics.go", pattern: `metricPrefix\s*\+ "([a-z_]+)"`, prefix: "spanlanding_node_"},
		{file: "../traffic/traffic.go", pattern: `"(spanlanding_[a-z_]+)"`},
		{file: "errors.go", pattern: `(?m)^\s+Exit\w+ ExitCode = (\d)`},
	}
	for _, test := range cases {
		for _, name := range matchesIn(t, test.file, test.pattern) {
			name = test.prefix + name
			if !strings.Contains(string(page), "`"+name+"`") && !strings.Contains(string(page), "| "+name+" |") {
				t.Errorf("docs/OPERATIONS.md does not name %s of %s", name, test.file)
			}
		}
	}
}

// TestOperationsPageNamesEveryFieldOfTheJSON checks that the section on JSON
// output documents every field that the commands print.
func TestOperationsPageNamesEveryFieldOfTheJSON(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "### JSON for scripts")
	section, _, _ = strings.Cut(section, "\n### ")
	for _, value := range []any{
		Status{}, ZoneStatus{}, ModelStatus{}, QueueStatus{}, fleet.Member{}, fleet.Addresses{},
		WaitResult{}, Lacking{}, ApplyResult{}, Applied{}, Difference{}, FieldChange{}, DrainReport{},
		objectstore.ObjectList{}, spec.Finding{}, spec.Position{},
	} {
		kind := reflect.TypeOf(value)
		for index := range kind.NumField() {
			name, _, _ := strings.Cut(kind.Field(index).Tag.Get("json"), ",")
			if name != "" && !strings.Contains(section, "`"+name+"`") {
				t.Errorf("docs/OPERATIONS.md does not name %s of %s", name, kind)
			}
		}
	}
}

var (
	// eventPatterns match the names of log events in source code.
	eventPatterns = []*regexp.Regexp{
		regexp.MustCompile(`\.Msg\("([^"]*)"\)`),
		regexp.MustCompile(`logFailure\("([^"]*)"`),
		regexp.MustCompile(`(?m)^const event\w+ = "([^"]*)"`),
		regexp.MustCompile(`outageEvents\{failed: "([^"]*)"`),
		regexp.MustCompile(`outageEvents\{.*recovered: "([^"]*)"`),
	}
	eventName = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	codeSpan  = regexp.MustCompile("`([^`]+)`")
)

// TestOperationsPageNamesEveryEvent checks that the table of log events lists
// exactly the events in the source of a node, and that each name is in snake_case.
func TestOperationsPageNamesEveryEvent(t *testing.T) {
	logged := eventsInSource(t)
	listed := make(map[string]bool)
	for _, row := range eventRows(t) {
		for _, name := range codeSpan.FindAllStringSubmatch(strings.Split(row, "|")[1], -1) {
			listed[name[1]] = true
		}
	}
	for name, file := range logged {
		if !listed[name] {
			t.Errorf("docs/OPERATIONS.md does not list the event %q of %s", name, file)
		}
	}
	for name := range listed {
		if logged[name] == "" {
			t.Errorf("docs/OPERATIONS.md lists the event %q, which no source file logs", name)
		}
	}
}

// eventsInSource maps each event name to a source file that logs it.
func eventsInSource(t *testing.T) map[string]string {
	t.Helper()
	logged := make(map[string]string)
	for _, folder := range []string{"../node", "../gateway", "../logging"} {
		files, err := filepath.Glob(folder + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("no source in %s: %v", folder, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || filepath.Base(file) == "doc.go" {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, pattern := range eventPatterns {
				for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
					if !eventName.MatchString(match[1]) {
						t.Errorf("%s: the event name %q is not in snake_case", file, match[1])
					}
					logged[match[1]] = file
				}
			}
		}
	}
	return logged
}

// eventRows returns the rows of the table of log events.
func eventRows(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "### Log events")
	section, _, found := strings.Cut(section, "\n## ")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no section \"Log events\"")
	}
	var rows []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, line)
		}
	}
	return rows
}

// matchesIn returns the first submatch of each match of the pattern in a source
// file. It fails if there is none, so that moved source can't go unchecked.
func matchesIn(t *testing.T, file, pattern string) []string {
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

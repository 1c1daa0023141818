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

// TestOperationsPageNamesEveryCodeAndMetric holds the page against the source:
// operators look up there what they see in answers and graphs.
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
		for _, name := range namesIn(t, test.file, test.pattern) {
			name = test.prefix + name
			if !strings.Contains(string(page), "`"+name+"`") && !strings.Contains(string(page), "| "+name+" |") {
				t.Errorf("docs/OPERATIONS.md does not name %s of %s", name, test.file)
			}
		}
	}
}

// TestOperationsPageNamesEveryFieldOfTheJSON holds the page's table for scripts
// against what the commands print.
func TestOperationsPageNamesEveryFieldOfTheJSON(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "### JSON for scripts")
	section, _, _ = strings.Cut(section, "\n### ")
	for _, printed := range []any{
		Status{}, ZoneStatus{}, ModelStatus{}, QueueStatus{}, fleet.Member{}, fleet.Addresses{},
		WaitResult{}, Lacking{}, ApplyResult{}, Applied{}, Difference{}, FieldChange{}, DrainReport{},
		objectstore.ObjectList{}, spec.Finding{}, spec.Position{},
	} {
		kind := reflect.TypeOf(printed)
		for index := range kind.NumField() {
			name, _, _ := strings.Cut(kind.Field(index).Tag.Get("json"), ",")
			if name != "" && !strings.Contains(section, "`"+name+"`") {
				t.Errorf("docs/OPERATIONS.md does not name %s of %s", name, kind)
			}
		}
	}
}

var (
	// eventPatterns find the names of events as the source gives them.
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

// TestOperationsPageNamesEveryEvent holds the table of events against what a
// node's source logs, in both directions, and that each has a name.
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
			t.Errorf("docs/OPERATIONS.md lists the event %q, which nothing logs", name)
		}
	}
}

// eventsInSource returns the file of each event.
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
						t.Errorf("%s: the event %q has no name in snake_case", file, match[1])
					}
					logged[match[1]] = file
				}
			}
		}
	}
	return logged
}

// eventRows returns the rows of the page's table of events.
func eventRows(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "### Log events")
	section, _, found := strings.Cut(section, "\n## ")
	if !found {
		t.Fatal("no section on log events")
	}
	var rows []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, line)
		}
	}
	return rows
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

package report

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"time"
)

// Environment describes the machine and the build that executed a run.
type Environment struct {
	Lines []EnvironmentLine
}

// EnvironmentLine is one property of an environment.
type EnvironmentLine struct {
	Name  string
	Value string
}

// Keys of the build settings that a report shows.
const (
	buildRevision = "vcs.revision"
	buildModified = "vcs.modified"
)

// ThisEnvironment describes the current machine and the build of the program.
func ThisEnvironment(now time.Time, command string) Environment {
	environment := Environment{Lines: []EnvironmentLine{
		{"time", now.UTC().Format(time.RFC3339)},
		{"command", command},
		{"system", fmt.Sprintf("%s %s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU())},
		{"Go", runtime.Version()},
	}}
	build, known := debug.ReadBuildInfo()
	if !known {
		return environment
	}
	environment.add("module", build.Main.Path+" "+build.Main.Version)
	for _, setting := range build.Settings {
		if setting.Key == buildRevision || setting.Key == buildModified {
			environment.add(setting.Key, setting.Value)
		}
	}
	return environment
}

func (e *Environment) add(name, value string) {
	e.Lines = append(e.Lines, EnvironmentLine{name, value})
}

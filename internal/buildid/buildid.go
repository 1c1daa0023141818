// Package buildid tells which build of the program runs, so that logs and metrics of nodes tell two
// builds apart that run side by side.
//
// It may import the standard library only.
package buildid

import (
	"bytes"
	"debug/elf"
	"runtime/debug"
	"strings"
)

const (
	// Unknown is the build of a program that does not say.
	Unknown = "unknown"
	// shortLength is the number of characters of a build that are told.
	shortLength = 12
	// noteSection holds the ID that the linker gives a program, and noteHeader the bytes before it.
	noteSection = ".note.go.buildid"
	noteHeader  = 16
)

// Current is the build of this process: the revision of its sources where the program knows it, with
// a mark where they were changed, else a part of the ID that the linker gave it.
func Current() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := revisionOf(info.Settings); revision != "" {
			return revision
		}
	}
	return linked("/proc/self/exe")
}

func revisionOf(settings []debug.BuildSetting) string {
	values := make(map[string]string, len(settings))
	for _, setting := range settings {
		values[setting.Key] = setting.Value
	}
	revision := shorten(values["vcs.revision"])
	if revision != "" && values["vcs.modified"] == "true" {
		revision += "+changes"
	}
	return revision
}

// linked is the part of the linker's ID that goes by the program's content.
func linked(path string) string {
	program, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer program.Close()
	section := program.Section(noteSection)
	if section == nil {
		return Unknown
	}
	note, err := section.Data()
	if err != nil || len(note) <= noteHeader {
		return Unknown
	}
	id := string(bytes.TrimRight(note[noteHeader:], "\x00"))
	return shorten(id[strings.LastIndexByte(id, '/')+1:])
}

func shorten(text string) string { return text[:min(shortLength, len(text))] }

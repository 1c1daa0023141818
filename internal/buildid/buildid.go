// Package buildid identifies the build of the running program, so that the logs and metrics of
// nodes distinguish two builds that run side by side.
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
	// Unknown is reported if the program contains no build ID.
	Unknown = "unknown"
	// shortIDLength is the length to which a build ID is cut.
	shortIDLength = 12
	// noteSection is the ELF section with the build ID that the linker writes; the ID follows a
	// header of noteHeaderBytes.
	noteSection     = ".note.go.buildid"
	noteHeaderBytes = 16
)

// Current returns the build of this process: the VCS revision if the program contains it, with a
// suffix if the sources were modified, and otherwise a part of the linker's build ID.
func Current() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := vcsRevision(info.Settings); revision != "" {
			return revision
		}
	}
	return linkerBuildID("/proc/self/exe")
}

func vcsRevision(settings []debug.BuildSetting) string {
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

// linkerBuildID returns the last part of the linker's build ID, which is a hash of the program's
// content.
func linkerBuildID(path string) string {
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
	if err != nil || len(note) <= noteHeaderBytes {
		return Unknown
	}
	id := string(bytes.TrimRight(note[noteHeaderBytes:], "\x00"))
	return shorten(id[strings.LastIndexByte(id, '/')+1:])
}

func shorten(text string) string { return text[:min(shortIDLength, len(text))] }

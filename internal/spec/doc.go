// Package spec defines the declarations that operators keep in version control:
// their types, a strict YAML parser that reports every finding with its position,
// and the checks across objects. The operators' commands use it to validate and
// apply declarations; nodes and test tools use it to read stored ones.
//
// It may import fleet, goccy/go-yaml and errorx; it does no network I/O.
package spec

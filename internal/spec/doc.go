// Package spec holds the declarations that operators keep in version control:
// their types, a strict parser that collects every finding with its place, and
// the checks across objects.
//
// It may import fleet, goccy/go-yaml and errorx; it does no network I/O.
package spec

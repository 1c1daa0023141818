// Package operator implements the operator interface of a node and of the
// command line.
//
// NewHandler serves the operator port of a node: status, configuration
// versions, health, readiness, metrics and drain. NodeClient is its client. The
// rest is the logic of the commands: NewPlan compares declared objects with the
// object store, Apply writes the difference, Wait polls the fleet until every
// live node runs a configuration version, and the Render functions print
// results as text. The package defines the exit codes and maps errors to them.
//
// Package node serves the handler and builds its reports; cmd/spanlanding uses
// the rest. The package may import fleet, spec, objectstore, views and
// prometheus.
package operator

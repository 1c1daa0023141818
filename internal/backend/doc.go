// Package backend is the HTTP client for model engines and service backends.
// It owns the paths, headers and messages of both protocols; see
// docs/protocols.md. Package gateway runs callers' requests with Generator and
// Services, package node claims and configures engines with EngineControl, and
// the placement packages use the order types.
//
// It may import bounded, delivery, fleet, inventory and traffic.
package backend

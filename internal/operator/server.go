package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths of the operators' port.
const (
	PathStatus   = "/status"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathDrain    = "/drain"
	PathVersions = "/v1/versions"
)

// Source is what a node tells its operators.
type Source interface {
	Status() Status
	Versions() VersionReport
	// Ready returns nil once the node serves callers, else why it does not.
	Ready() error
	// Drain begins a planned stop and returns at once; a repeat has no further
	// effect.
	Drain(ctx context.Context) error
}

// ReadyReport answers GET /readyz.
type ReadyReport struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// DrainReport answers POST /drain.
type DrainReport struct {
	Node     string `json:"node"`
	Draining bool   `json:"draining"`
}

// ErrorReport is the body of an answer that is no success.
type ErrorReport struct {
	Error string `json:"error"`
}

// NewHandler serves the operators' port of a node.
func NewHandler(source Source, metrics prometheus.Gatherer) http.Handler {
	server := &server{source: source}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, server.status)
	mux.HandleFunc("GET "+PathVersions, server.versions)
	mux.HandleFunc("GET "+PathHealth, server.health)
	mux.HandleFunc("GET "+PathReady, server.ready)
	mux.HandleFunc("POST "+PathDrain, server.drain)
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	return mux
}

type server struct {
	source Source
}

func (s *server) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.source.Status())
}

func (s *server) versions(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, s.source.Versions())
}

// health answers as long as the process can serve HTTP at all.
func (s *server) health(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, struct {
		Healthy bool `json:"healthy"`
	}{true})
}

func (s *server) ready(writer http.ResponseWriter, _ *http.Request) {
	if err := s.source.Ready(); err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, ReadyReport{Reason: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, ReadyReport{Ready: true})
}

func (s *server) drain(writer http.ResponseWriter, request *http.Request) {
	if err := s.source.Drain(request.Context()); err != nil {
		writeJSON(writer, http.StatusInternalServerError, ErrorReport{Error: err.Error()})
		return
	}
	writeJSON(writer, http.StatusAccepted, DrainReport{Node: string(s.source.Status().Node), Draining: true})
}

func writeJSON(writer http.ResponseWriter, code int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(code)
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	// The caller is gone if this fails; there is no one left to tell.
	_ = encoder.Encode(body)
}

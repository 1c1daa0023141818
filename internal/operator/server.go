package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths served on the operator port.
const (
	PathStatus   = "/status"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathDrain    = "/drain"
	PathVersions = "/v1/versions"
)

// Source provides the state of a node to the handler; the node implements it.
type Source interface {
	Status() Status
	Versions() VersionReport
	// Ready returns nil if the node can serve callers, else the reason why not.
	Ready() error
	// Drain starts a graceful shutdown and returns immediately; repeated calls
	// have no further effect.
	Drain(ctx context.Context) error
}

// ReadyReport is the response body of GET /readyz.
type ReadyReport struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// DrainReport is the response body of POST /drain.
type DrainReport struct {
	Node     string `json:"node"`
	Draining bool   `json:"draining"`
}

// ErrorReport is the response body of a failed request.
type ErrorReport struct {
	Error string `json:"error"`
}

// NewHandler returns the HTTP handler of a node's operator port.
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

// health succeeds whenever the process can serve HTTP.
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
	// An error here means that the client has disconnected, so it can't be
	// reported to anyone.
	_ = encoder.Encode(body)
}

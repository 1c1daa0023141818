package httpdriver

import (
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/spanlanding/spanlanding/internal/backend"
)

const (
	contentTypeJSON    = "application/json"
	contentTypeProblem = "application/problem+json"
	contentTypeEvents  = "text/event-stream"

	maxBodyBytes = 16 << 20
)

// Problem is the JSON body of an error response, a problem document.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   string `json:"code"`
	Detail string `json:"detail,omitempty"`
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func writeProblem(writer http.ResponseWriter, status int, code, detail string) {
	writer.Header().Set("Content-Type", contentTypeProblem)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(Problem{
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	})
}

// withLeavingHeader sets the leaving header on every response of a back end that
// is shutting down.
func withLeavingHeader(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if leaving.Load() {
			writer.Header().Set(backend.HeaderLeaving, "true")
		}
		next.ServeHTTP(writer, request)
	})
}

// withIdentity sets the request ID and the attempt of the request on its response.
func withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for _, name := range []string{backend.HeaderRequestID, backend.HeaderAttempt} {
			if value := request.Header.Get(name); value != "" {
				writer.Header().Set(name, value)
			}
		}
		next.ServeHTTP(writer, request)
	})
}

// writeNotRun refuses a request of which nothing has run.
func writeNotRun(writer http.ResponseWriter, status int, code string) {
	writer.Header().Set(backend.HeaderNotRun, "true")
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "1")
	}
	writeProblem(writer, status, code, "")
}

// readJSON decodes the request body. If it can't, it answers 400 and returns
// false.
func readJSON(writer http.ResponseWriter, request *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-json", err.Error())
		return false
	}
	return true
}

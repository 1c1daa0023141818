package faults

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// labPrefix is the path prefix of the test control API, which no fault affects.
const labPrefix = "/lab/"

// Switch holds the active faults of one stand-in and injects them into its calls.
type Switch struct {
	zone     fleet.Zone
	onChange func(Set)

	mutex   sync.Mutex
	current Set
	calls   map[*activeCall]struct{}
}

// activeCall is a call in progress.
type activeCall struct {
	from   fleet.Zone
	cancel context.CancelFunc
	cut    atomic.Bool
}

// NewSwitch returns a switch with all faults off. onChange is called with each
// new set; it may be nil.
func NewSwitch(zone fleet.Zone, onChange func(Set)) *Switch {
	return &Switch{zone: zone, onChange: onChange, calls: map[*activeCall]struct{}{}}
}

// Set replaces the active faults. Calls in progress whose zone is now cut off or
// whose stand-in is now down lose their connection.
func (s *Switch) Set(set Set) {
	s.mutex.Lock()
	s.current = set
	for active := range s.calls {
		if s.dropsCallsFrom(active.from) {
			active.cut.Store(true)
			active.cancel()
		}
	}
	s.mutex.Unlock()
	if s.onChange != nil {
		s.onChange(set)
	}
}

// Current returns the active faults.
func (s *Switch) Current() Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// ServeHTTP returns the active faults by GET and replaces them by POST.
func (s *Switch) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		var set Set
		decoder := json.NewDecoder(request.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&set); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(set)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(s.Current())
}

// Wrap returns a handler that injects the active faults into calls to next.
func (s *Switch) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, labPrefix) {
			next.ServeHTTP(writer, request)
			return
		}
		active, unregister := s.register(&request)
		defer unregister()
		set := s.Current()
		if !waitDelay(request, set.Delay) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case set.Unavailable:
			http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		case s.consumeLostAnswer(request):
			next.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(writer, request)
		}
		if active.cut.Load() {
			panic(http.ErrAbortHandler)
		}
	})
}

// dropsCallsFrom reports whether calls from a zone are dropped; the caller holds
// the mutex.
func (s *Switch) dropsCallsFrom(from fleet.Zone) bool {
	return s.current.Down || s.current.CutsOff(from, s.zone)
}

// register adds a call to the calls in progress and replaces its request by one
// whose context ends when a fault cuts the call. It aborts a call that the active
// faults drop.
func (s *Switch) register(request **http.Request) (active *activeCall, unregister func()) {
	ctx, cancel := context.WithCancel((*request).Context())
	active = &activeCall{from: fleet.Zone((*request).Header.Get(HeaderZone)), cancel: cancel}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dropsCallsFrom(active.from) {
		cancel()
		panic(http.ErrAbortHandler)
	}
	*request = (*request).WithContext(ctx)
	s.calls[active] = struct{}{}
	return active, func() {
		cancel()
		s.mutex.Lock()
		delete(s.calls, active)
		s.mutex.Unlock()
	}
}

// consumeLostAnswer reports whether the response to the request is to be lost, and
// if so counts it.
func (s *Switch) consumeLostAnswer(request *http.Request) bool {
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current.LoseAnswers == 0 {
		return false
	}
	if s.current.LoseAnswers > 0 {
		s.current.LoseAnswers--
	}
	return true
}

func waitDelay(request *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// discardWriter discards a response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header            { return d.header }
func (d *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d *discardWriter) WriteHeader(int)                {}
func (d *discardWriter) Flush()                         {}

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

// labPrefix marks the calls of the laboratory, which no fault touches.
const labPrefix = "/lab/"

// Switch holds the faults in force at one stand-in.
type Switch struct {
	zone     fleet.Zone
	onChange func(Set)

	mutex   sync.Mutex
	current Set
	calls   map[*call]struct{}
}

// call is one call under way.
type call struct {
	from   fleet.Zone
	cancel context.CancelFunc
	cut    atomic.Bool
}

// NewSwitch returns a switch with all faults off. Each new set is handed to
// onChange, which may be nil.
func NewSwitch(zone fleet.Zone, onChange func(Set)) *Switch {
	return &Switch{zone: zone, onChange: onChange, calls: map[*call]struct{}{}}
}

// Set replaces the faults in force. Calls under way that would now be refused
// lose their connection.
func (s *Switch) Set(set Set) {
	s.mutex.Lock()
	s.current = set
	for under := range s.calls {
		if s.drops(under.from) {
			under.cut.Store(true)
			under.cancel()
		}
	}
	s.mutex.Unlock()
	if s.onChange != nil {
		s.onChange(set)
	}
}

// Current returns the faults in force.
func (s *Switch) Current() Set {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// ServeHTTP shows the faults by GET and replaces them by POST.
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

// Wrap puts the faults between callers and the handler.
func (s *Switch) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, labPrefix) {
			next.ServeHTTP(writer, request)
			return
		}
		under, ended := s.begin(&request)
		defer ended()
		set := s.Current()
		if !wait(request, set.Delay) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case set.Unavailable:
			http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		case s.losesAnswer(request):
			next.ServeHTTP(&discard{header: http.Header{}}, request)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(writer, request)
		}
		if under.cut.Load() {
			panic(http.ErrAbortHandler)
		}
	})
}

// drops reports whether callers of a zone get no connection.
func (s *Switch) drops(from fleet.Zone) bool {
	return s.current.Down || s.current.CutsOff(from, s.zone)
}

// begin registers a call, and gives its request a context that ends when a
// fault cuts the call. It drops the connection of a call that can't begin.
func (s *Switch) begin(request **http.Request) (under *call, ended func()) {
	ctx, cancel := context.WithCancel((*request).Context())
	under = &call{from: fleet.Zone((*request).Header.Get(HeaderZone)), cancel: cancel}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.drops(under.from) {
		cancel()
		panic(http.ErrAbortHandler)
	}
	*request = (*request).WithContext(ctx)
	s.calls[under] = struct{}{}
	return under, func() {
		cancel()
		s.mutex.Lock()
		delete(s.calls, under)
		s.mutex.Unlock()
	}
}

// losesAnswer counts one of the answers to be lost.
func (s *Switch) losesAnswer(request *http.Request) bool {
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

func wait(request *http.Request, delay time.Duration) bool {
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

// discard takes an answer that no one gets.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header            { return d.header }
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }
func (d *discard) WriteHeader(int)                {}
func (d *discard) Flush()                         {}

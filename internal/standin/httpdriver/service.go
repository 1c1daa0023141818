package httpdriver

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

// Service serves a service.Core over HTTP.
type Service struct {
	backend   fleet.Backend
	faults    *faults.Switch
	eventLoop *eventLoop
	calls     atomic.Uint64
	leaving   atomic.Bool

	// Only the event loop's goroutine uses the fields below.
	core     *service.Core
	outboxes map[service.CallID]*outbox[service.Effect]
}

// NewService starts a command server that runs until the context ends.
func NewService(ctx context.Context, options service.Options) *Service {
	created := &Service{
		backend:  options.Backend,
		core:     service.New(options),
		outboxes: map[service.CallID]*outbox[service.Effect]{},
	}
	created.faults = faults.NewSwitch(options.Backend.Zone, func(set faults.Set) {
		if set.Leaving {
			created.Leave()
		}
	})
	created.eventLoop = newEventLoop(ctx, created.core.NextWake, func(now time.Time) {
		created.step(now, service.Tick{})
	})
	return created
}

// Handler returns the server's handler, which executes any method and path
// outside /lab/ as a command.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(faults.Path, s.faults)
	mux.HandleFunc(PathBooks, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, s.Book())
	})
	mux.HandleFunc("/", s.serveCommand)
	return withIdentity(s.faults.Wrap(withLeavingHeader(&s.leaving, mux)))
}

// Book returns the server's records.
func (s *Service) Book() books.Book {
	var book books.Book
	s.eventLoop.do(func(now time.Time) {
		s.step(now, service.Tick{})
		book = s.core.Book()
	})
	return book
}

// Leave makes the server announce its shutdown and refuse new commands.
func (s *Service) Leave() {
	s.leaving.Store(true)
	s.eventLoop.do(func(now time.Time) { s.step(now, service.Leave{}) })
}

// Idle reports whether no command runs.
func (s *Service) Idle() bool {
	idle := true
	s.eventLoop.do(func(time.Time) { idle = s.core.Idle() })
	return idle
}

// Machine returns the server's entry for the machine list.
func (s *Service) Machine() objectstore.Machine {
	return backendMachine(s.backend, s.leaving.Load())
}

// serveCommand executes a command. Once started, the command runs to its end
// even if the client disconnects.
func (s *Service) serveCommand(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes)); err != nil {
		return
	}
	box := newOutbox[service.Effect]()
	command := service.Run{
		Call:      service.CallID(s.calls.Add(1)),
		RequestID: fleet.RequestID(request.Header.Get(backend.HeaderRequestID)),
		Attempt:   headerInt(request, backend.HeaderAttempt),
		Key:       request.Header.Get(headerIdempotencyKey),
		Method:    request.Method,
		Path:      request.URL.Path,
	}
	s.eventLoop.do(func(now time.Time) {
		s.outboxes[command.Call] = box
		s.step(now, command)
	})
	effects, err := box.take(request.Context())
	if err != nil {
		return
	}
	switch effect := effects[0].(type) {
	case service.Answered:
		writeJSON(writer, http.StatusOK, effect.Answer)
	case service.Refused:
		writeNotRun(writer, http.StatusServiceUnavailable, "leaving")
	}
}

func (s *Service) step(now time.Time, message service.Message) {
	for _, effect := range s.core.Step(now, message) {
		switch f := effect.(type) {
		case service.Answered:
			s.dispatch(f.Call, f)
		case service.Refused:
			s.dispatch(f.Call, f)
		}
	}
}

func (s *Service) dispatch(id service.CallID, effect service.Effect) {
	if box := s.outboxes[id]; box != nil {
		box.put(effect)
		delete(s.outboxes, id)
	}
}

func backendMachine(self fleet.Backend, leaving bool) objectstore.Machine {
	state := objectstore.MachineLive
	if leaving {
		state = objectstore.MachineLeaving
	}
	return objectstore.Machine{
		Role:    string(self.Kind),
		Name:    string(self.Name),
		Zone:    self.Zone,
		Rack:    self.Rack,
		State:   state,
		Service: self.Service,
		Address: self.Address,
	}
}

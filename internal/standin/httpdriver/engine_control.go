package httpdriver

import (
	"context"
	"net/http"
	"strconv"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

func (e *Engine) serveState(writer http.ResponseWriter, request *http.Request) {
	e.respond(writer, request, func(id engine.CallID) engine.Message {
		return engine.ReadState{Call: id}
	})
}

func (e *Engine) serveClaim(writer http.ResponseWriter, request *http.Request) {
	var claim backend.Claim
	if !readJSON(writer, request, &claim) {
		return
	}
	e.respond(writer, request, func(id engine.CallID) engine.Message {
		return engine.TakeClaim{Call: id, Claim: claim}
	})
}

func (e *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order backend.Order
	if !readJSON(writer, request, &order) {
		return
	}
	e.respond(writer, request, func(id engine.CallID) engine.Message {
		return engine.TakeOrder{Call: id, Order: order}
	})
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	since, err := queryUint(request, "since")
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-since", err.Error())
		return
	}
	e.respond(writer, request, func(id engine.CallID) engine.Message {
		return engine.ReadCacheEvents{Call: id, Since: since}
	})
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	cancelled, attempt := fleet.RequestID(request.PathValue("id")), headerInt(request, backend.HeaderAttempt)
	e.respond(writer, request, func(id engine.CallID) engine.Message {
		return engine.Cancel{Call: id, Request: cancelled, Attempt: attempt}
	})
}

// respond sends the message to the core and writes its only effect as the
// response.
func (e *Engine) respond(writer http.ResponseWriter, request *http.Request, message func(engine.CallID) engine.Message) {
	_, box := e.call(message)
	effect, err := firstEffect(e.ctx, request, box)
	if err != nil {
		return
	}
	switch f := effect.(type) {
	case engine.StateRead:
		writeJSON(writer, stateStatus(request), f.State)
	case engine.FenceRefused:
		writeJSON(writer, http.StatusConflict, f.Refusal)
	case engine.OrderRefused:
		writeJSON(writer, http.StatusUnprocessableEntity, backend.OrderRefusal{Reason: f.Reason})
	case engine.CacheEventsRead:
		writeJSON(writer, http.StatusOK, f.Events)
	case engine.Cancelled:
		if !f.Found {
			writeProblem(writer, http.StatusNotFound, string(engine.RefusedUnknown), "")
			return
		}
		writer.WriteHeader(http.StatusNoContent)
	}
}

// stateStatus returns 202 for orders, which continue after the response, and 200
// otherwise.
func stateStatus(request *http.Request) int {
	if request.URL.Path == backend.PathEngineOrders {
		return http.StatusAccepted
	}
	return http.StatusOK
}

// firstEffect waits for the first effect of a call. It returns an error if the
// request or the engine ends first.
func firstEffect(engineContext context.Context, request *http.Request, box *outbox[engine.Effect]) (engine.Effect, error) {
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(engineContext, cancel)()
	effects, err := box.take(ctx)
	if err != nil {
		return nil, err
	}
	return effects[0], nil
}

// headerInt returns the value of a numeric header, or 0 if it has no valid one.
func headerInt(request *http.Request, name string) int {
	number, _ := strconv.Atoi(request.Header.Get(name))
	return number
}

func queryUint(request *http.Request, name string) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

package backend

import (
	"errors"
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// Guards against answers to orders, streams and calls that are believed though their heads are malformed.
func TestMalformedAnswersTellNothing(t *testing.T) {
	server := cutanswer.NewServer(t)
	for _, c := range []struct{ status, fields, body string }{
		{"200 OK", "", `{"incarnation":7,"models":[{}],"memoryBytes":9}`},
		{"409 Conflict", "", `{"incarnation":7}`},
		{"503 Service Unavailable", HeaderNotRun + ": true\r\n", "{}"},
	} {
		server.ForEachMalformed(t, c.status, c.fields, c.body, func(t *testing.T) {
			control := NewEngineControl("a")
			defer control.Close()
			var unknown *UnavailableError
			if got, err := control.Order(t.Context(), server.Address, Order{ID: "o1", Action: ActionLoad}); !errors.As(err, &unknown) {
				t.Errorf("order: state %+v, error %v", got, err)
			}
			generator := NewGenerator("a", nil)
			defer generator.Close()
			stream, err := generator.Open(t.Context(), server.Address, GenerateRequest{RequestID: "r1", Attempt: 1, Path: PathChat, Body: Body{}})
			checkMaybeSent(t, "stream", stream != nil, err)
			services := NewServices("a")
			defer services.Close()
			for _, isRepeatable := range []bool{false, true} {
				answer, err := callOnce(t, services, server.Address, ServiceCall{
					RequestID: "r1", Attempt: 1, Method: http.MethodPost, Target: "/", Repeatable: isRepeatable, Body: []byte("b"),
				})
				checkMaybeSent(t, "call", answer != nil, err)
			}
		})
	}
}

// Guards against a malformed trailer of an answer that is passed on.
func TestMalformedTrailerOfAServiceIsFound(t *testing.T) {
	server := cutanswer.NewServer(t)
	server.Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFo o: x\r\n\r\n", cutanswer.Closed)
	services := NewServices("a")
	defer services.Close()
	answer, err := callOnce(t, services, server.Address, stopCommand("k"))
	checkMaybeSent(t, "call", answer != nil, err)
}

func checkMaybeSent(t *testing.T, call string, isAnswered bool, err error) {
	t.Helper()
	var sendError *SendError
	if isAnswered || !errors.As(err, &sendError) || sendError.NeverSent {
		t.Errorf("%s: answered %v, error %v", call, isAnswered, err)
	}
}

package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/callerconn"
)

// TestHandlersHaveTheirCallersConnections guards against answers to callers of HTTP/1.0 whose end nothing guards.
func TestHandlersHaveTheirCallersConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	isFound := make(chan bool, 1)
	server := new(servers).serve("test", listener, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, ok := callerconn.FromContext(request.Context())
		isFound <- ok
	}))
	defer server.Close()
	response, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if !<-isFound {
		t.Error("the handler has no connection")
	}
}

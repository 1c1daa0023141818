package gateway

import (
	"io"
	"net/http"
	"testing"
)

func TestPlainCallGoesToTheService(t *testing.T) {
	h := newHarness(t, nil)
	h.addService("s1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.WriteHeader(http.StatusCreated)
		_, _ = writer.Write(append([]byte(request.Method+" "+request.URL.RequestURI()+" "), body...))
	}))
	got := h.do(http.MethodPost, "/turbines/7/stop?now=1", "hard")
	if got.status != http.StatusCreated || got.body != "POST /turbines/7/stop?now=1 hard" {
		t.Fatalf("%+v", got)
	}
}

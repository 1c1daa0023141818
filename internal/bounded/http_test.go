package bounded

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
)

func TestBodiesAreLimited(t *testing.T) {
	const limit = 100
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, strings.Repeat("x", int(request.ContentLength)))
	}))
	defer server.Close()
	client := &http.Client{Transport: LimitBodies(&http.Transport{}, limit)}
	defer client.CloseIdleConnections()
	for length, isTooLong := range map[int]bool{0: false, 1: false, limit: false, limit + 1: true, 10 * limit: true} {
		response, err := client.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("y", length)))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if errorx.IsOfType(err, ErrTooLong) != isTooLong || !isTooLong && len(text) != length || len(text) > limit {
			t.Errorf("body of %d: %d bytes, error %v", length, len(text), err)
		}
	}
}

func TestReadAllIsLimited(t *testing.T) {
	for length, isTooLong := range map[int]bool{0: false, 10: false, 11: true, 1000: true} {
		text, err := ReadAll(strings.NewReader(strings.Repeat("x", length)), 10)
		if errorx.IsOfType(err, ErrTooLong) != isTooLong || !isTooLong && len(text) != length {
			t.Errorf("%d bytes: %d read, error %v", length, len(text), err)
		}
	}
}

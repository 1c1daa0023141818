package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/backend"
)

const chatBody = `{"model":"notes","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"now"}]}`

// reply is the answer that a caller received.
type reply struct {
	status  int
	text    string
	problem struct {
		Outcome   string `json:"outcome"`
		Code      string `json:"code"`
		RequestID string `json:"requestId"`
	}
}

func (r *realFleet) url(path string) string { return "http://" + r.settings.Listen.Caller + path }

// ask sends a completion request with the labels that the selector matches.
func (r *realFleet) ask(t *testing.T, body string) reply {
	t.Helper()
	return r.send(t, body, "X-Spanlanding-Labels", "job=notes")
}

func (r *realFleet) send(t *testing.T, body string, headers ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.url(backend.PathChat), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := reply{status: response.StatusCode, text: string(text)}
	_ = json.Unmarshal(text, &got.problem)
	return got
}

package gateway

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
)

// headerCall returns a call that is used only for its headers.
func headerCall(name, value string) *call {
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.Header.Set(name, value)
	return &call{gateway: &Gateway{limits: Limits{}.withDefaults()}, request: request, arrived: time.Unix(1e9, 0)}
}

// FuzzDeadline checks that a caller can only shorten a deadline, and never to
// before its arrival.
func FuzzDeadline(f *testing.F) {
	for _, seed := range []string{"1.5s", "2", "0", "-1s", "1e9", "NaN", "Inf", "9223372036854775807ns", "1h1h", "0.0000000001", "soon", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		call := headerCall(headerDeadline, text)
		deadline, failed := call.deadline(time.Minute, time.Second)
		if failed != nil {
			if failed.status != http.StatusBadRequest || failed.code != codeMalformed {
				t.Fatalf("%q: %+v", text, failed)
			}
			return
		}
		if span := deadline.Sub(call.arrived); span < 0 || span > time.Minute {
			t.Fatalf("%q gives %s", text, span)
		}
	})
}

// FuzzLabels checks that labels are parsed as they were written, or refused.
func FuzzLabels(f *testing.F) {
	for _, seed := range []string{"job=chat", "a=1, b=2 ,c=", "a", "=a", "a=b=c", ",", "a=1,a=2", "  ", "é=ü", strings.Repeat("k=v,", 2000)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		labels, failed := headerCall(headerLabels, text).labels()
		if failed != nil {
			if failed.code != codeMalformed || failed.status < 400 || failed.status > 499 {
				t.Fatalf("%q: %+v", text, failed)
			}
			return
		}
		var pairs []string
		for key, value := range labels {
			if key == "" || strings.ContainsAny(key, ",=") || strings.Contains(value, ",") {
				t.Fatalf("%q has the label %q=%q", text, key, value)
			}
			pairs = append(pairs, key+"="+value)
		}
		again, failed := headerCall(headerLabels, strings.Join(pairs, ",")).labels()
		if failed != nil || len(again) != len(labels) {
			t.Fatalf("%q gives %v, which gives %v (%+v)", text, labels, again, failed)
		}
	})
}

// FuzzCompletion checks that a body is refused with a reason or has a length within
// the model's context.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","max_tokens":16,"messages":[]}`, `{"max_tokens":9223372036854775807}`, `{"max_tokens":-5}`,
		`{"max_tokens":1.5}`, `null`, `{"stream":"yes"}`, `{"MODEL":"m"}`, `[1]`, `{"model":`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, header, failed := parseCompletion(text)
		if failed != nil {
			if failed.status != http.StatusBadRequest || failed.code != codeMalformed || failed.detail == "" {
				t.Fatalf("%q: %+v", text, failed)
			}
			return
		}
		if body == nil {
			t.Fatalf("%q was accepted as an object", text)
		}
		const context = 100
		route := catalog.ModelRoute{ContextTokens: context}
		if checkLength(route, context/2, header.MaxTokens) == nil && header.MaxTokens > context/2 {
			t.Fatalf("%d tokens were accepted for a context of %d", header.MaxTokens, context)
		}
		if failed := checkLength(route, 1, math.MinInt); failed != nil {
			t.Fatalf("a request without output is too long: %+v", failed)
		}
	})
}

package objectstore

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// Guards against answers of the store that are believed though their heads are malformed.
func TestMalformedAnswerTellsNothing(t *testing.T) {
	const object = `{"kind":"Model","name":"report","version":7,"changeId":"c1","changedBy":"c1"}`
	server := cutanswer.NewServer(t)
	for status, body := range map[string]string{"200 OK": object, "404 Not Found": "{}", "409 Conflict": `{"current":` + object + `}`, "400 Bad Request": "{}"} {
		server.ForEachMalformed(t, status, "", body, func(t *testing.T) {
			client := NewClient(server.Address, "a")
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, err := client.Get(ctx, Key{Kind: "Model", Name: "report"})
			if !errorx.IsOfType(err, Unavailable) {
				t.Errorf("%s: object %+v, error %v", status, got, err)
			}
			watch, err := client.Watch(ctx, 6)
			if err == nil {
				watch.Close()
			}
			if !errorx.IsOfType(err, Unavailable) {
				t.Errorf("%s: watch, error %v", status, err)
			}
		})
	}
}

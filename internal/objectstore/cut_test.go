package objectstore

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// errPart reports that a part of what was asked for was believed.
var errPart = errors.New("a part was believed")

// requireWhole returns errPart for a result other than the whole object of the test.
func requireWhole(got Object, err error) error {
	if err == nil && (got.Version != 7 || got.ChangeID != "c1") {
		return errPart
	}
	return err
}

// Guards against a call to the store whose answer was cut and which is taken for answered: a list for whole, an
// object for gone, a change for one without an object, a write for applied or outdated.
func TestCutAnswerTellsNothing(t *testing.T) {
	const (
		statusOK = "200 OK"

		object   = `{"kind":"Model","name":"report","version":7,"changeId":"c1","changedBy":"c1"}`
		list     = `{"version":17,"objects":[{"version":6},` + object + `]}`
		event    = `{"version":7,"object":` + object + "}\n"
		conflict = `{"current":` + object + `}`
	)
	calls := map[string]struct {
		answers map[string]string
		call    func(ctx context.Context, client *Client) error
	}{
		"list": {map[string]string{statusOK: list}, func(ctx context.Context, client *Client) error {
			list, err := client.List(ctx, "Model")
			if err == nil && (list.Version != 17 || len(list.Objects) != 2) {
				return errPart
			}
			return err
		}},
		"get": {map[string]string{statusOK: object, "404 Not Found": "{}"}, func(ctx context.Context, client *Client) error {
			return requireWhole(client.Get(ctx, Key{Kind: "Model", Name: "report"}))
		}},
		"watch": {map[string]string{statusOK: event, "410 Gone": "{}"}, func(ctx context.Context, client *Client) error {
			watch, err := client.Watch(ctx, 6)
			if err != nil {
				return err
			}
			defer watch.Close()
			event, err := watch.Next()
			if err == nil && event.Object == nil {
				return errPart
			}
			return err
		}},
		"write": {map[string]string{statusOK: object, "409 Conflict": conflict, "400 Bad Request": "{}"}, func(ctx context.Context, client *Client) error {
			var written Object
			err := client.call(ctx, http.MethodPut, "/v1/objects/Model/report", nil, WriteRequest{}, &written)
			return requireWhole(written, err)
		}},
	}
	for name, c := range calls {
		for status, body := range c.answers {
			t.Run(name+" "+status, func(t *testing.T) {
				server := cutanswer.NewServer(t)
				server.ForEach(t, status, "Content-Type: application/json\r\n", body, func(t *testing.T, cut cutanswer.Cut) {
					client := NewClient(server.Address, "oslo-1")
					defer client.Close()
					err := c.call(t.Context(), client)
					_, isConflict := AsConflict(err)
					isUnknown := errorx.IsOfType(err, Unavailable) && !errorx.IsOfType(err, NotSent)
					switch {
					case errors.Is(err, errPart), !isUnknown && !cut.IsHeadWhole():
						t.Errorf("error %v", err)
					case cut.IsWhole() && ((err == nil) != (status == statusOK) || isConflict != (status == "409 Conflict")):
						t.Errorf("error %v for a whole answer", err)
					}
				})
			})
		}
	}
}

package objectstore

import (
	"context"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// Guards against answers without end of the store, which are kept until memory runs out.
func TestAnswersWithoutEndAreNotReadToTheirEnd(t *testing.T) {
	key := Key{Kind: "Model", Name: "report"}
	for name, call := range map[string]func(ctx context.Context, client *Client) error{
		"list": func(ctx context.Context, client *Client) error {
			_, err := client.List(ctx, key.Kind)
			return err
		},
		"get": func(ctx context.Context, client *Client) error {
			_, err := client.Get(ctx, key)
			return err
		},
		"watch": func(ctx context.Context, client *Client) error {
			watch, err := client.Watch(ctx, 6)
			if err != nil {
				return err
			}
			defer watch.Close()
			_, err = watch.Next()
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			cutanswer.ForEachEndless(t, maxListBytes, func(ctx context.Context, address string) {
				client := NewClient(address, "a")
				defer client.Close()
				if call(ctx, client) == nil {
					t.Error("the answer is taken for whole")
				}
			})
		})
	}
}

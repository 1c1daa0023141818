package backend

import (
	"io"
	"strings"
	"testing"
)

func TestTheBlankLineAfterAnEventIsNoFurtherEvent(t *testing.T) {
	const event = `data: {"id":"r","attempt":1,"sequence":0,"text":"a"}` + "\n\n"
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"alone", event, false},
		{"with carriage returns", strings.ReplaceAll(event, "\n", "\r\n"), false},
		{"followed by the next", event + event, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stream := newStream(io.NopCloser(strings.NewReader(test.text)))
			var chunk Chunk
			if err := stream.Next(&chunk); err != nil {
				t.Fatal(err)
			}
			if got := stream.Buffered(); got != test.want {
				t.Errorf("Buffered() = %t, want %t", got, test.want)
			}
		})
	}
}

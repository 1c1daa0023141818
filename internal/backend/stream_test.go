package backend

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestStreamNext(t *testing.T) {
	const one = `data: {"id":"r1","attempt":2,"sequence":0,"text":" a"}` + "\n\n"
	const last = `data: {"id":"r1","attempt":2,"sequence":1,"finish":"stop"}` + "\n\n"
	tests := map[string]struct {
		text   string
		chunks int
		check  func(error) bool
	}{
		"whole":            {one + last + "data: [DONE]\n\n", 2, func(err error) bool { return errors.Is(err, ErrDone) }},
		"no terminator":    {one + last, 2, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"cut inside":       {one + last[:20], 1, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"comments skipped": {": ping\n\nevent: x\n" + one, 1, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"not JSON":         {"data: {]\n\n", 0, isProtocolError},
		"long but bounded": {`data: {"text":"` + strings.Repeat("x", 3*streamBufferBytes) + `"}` + "\n", 1,
			func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"line never ends": {"data: " + strings.Repeat("x", 2*maxEventBytes), 0, isProtocolError},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stream := newStream(io.NopCloser(strings.NewReader(test.text)))
			var chunk Chunk
			var err error
			count := 0
			for err = stream.Next(&chunk); err == nil; err = stream.Next(&chunk) {
				count++
			}
			if count != test.chunks || !test.check(err) {
				t.Errorf("%d chunks, then error %v", count, err)
			}
		})
	}
}

func isProtocolError(err error) bool {
	var protocol *ProtocolError
	return errors.As(err, &protocol)
}

func TestBodyIsPassedOnButForOurMembers(t *testing.T) {
	body, err := ParseBody([]byte(`{"model":"m","temperature":0.5,"stream":false,"continue_from":["forged"]}`))
	if err != nil {
		t.Fatal(err)
	}
	first, _ := body.encode(nil)
	if want := `{"model":"m","stream":true,"temperature":0.5}`; string(first) != want {
		t.Errorf("got %s", first)
	}
	again, _ := body.encode([]string{" a"})
	if want := `{"continue_from":[" a"],"model":"m","stream":true,"temperature":0.5}`; string(again) != want {
		t.Errorf("got %s", again)
	}
}

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
		{"followed by half of the next", event + event[:20], false},
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

func BenchmarkStreamNext(b *testing.B) {
	b.ReportAllocs()
	stream := newStream(io.NopCloser(&repeatingReader{text: `data: {"id":"0123456789abcdef","attempt":1,"sequence":12345,"text":" token"}` + "\n\n"}))
	var chunk Chunk
	for b.Loop() {
		if err := stream.Next(&chunk); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader returns the same text over and over.
type repeatingReader struct {
	text string
	rest string
}

func (r *repeatingReader) Read(data []byte) (int, error) {
	if r.rest == "" {
		r.rest = r.text
	}
	count := copy(data, r.rest)
	r.rest = r.rest[count:]
	return count, nil
}

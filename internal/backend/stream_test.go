package backend

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
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
		"event never ends": {"data: {\n" + strings.Repeat("data: "+strings.Repeat("x", streamBufferBytes)+"\n", 2*maxEventBytes/streamBufferBytes),
			0, isProtocolError},
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

// TestStreamsAreReadInEachFormOfTheStandard guards against streams that are never read, as their lines end
// otherwise or their data takes several.
func TestStreamsAreReadInEachFormOfTheStandard(t *testing.T) {
	const first = `data: {"id":"r1","attempt":1,"sequence":0,"text":" a"}` + "\n\n"
	const last = `data: {"id":"r1","attempt":1,"sequence":1,"finish":"stop"}` + "\n\ndata: [DONE]\n\n"
	severalLines := strings.ReplaceAll(first, `,"`, `,`+"\ndata: "+`"`)
	for name, text := range map[string]string{
		"one line each":       first + last,
		"comments":            ": here\n\n" + first + ": here\n: still\n" + last,
		"ids and other names": "retry: 9\nid: 1\nevent: token\n" + first + "id: 2\ndatabase: x\ndata\n\n" + last,
		"several lines":       severalLines + last,
		"empty data":          "data:\n\ndata: \ndata:\n\n" + first + last,
		"no space":            strings.ReplaceAll(first+last, "data: ", "data:"),
		"long comments":       ":" + strings.Repeat(" ", streamBufferBytes-2) + "\n" + first + last,
	} {
		for ending, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
			for way, limit := range map[string]func(io.Reader) io.Reader{"at once": asIs, "bytewise": iotest.OneByteReader} {
				t.Run(name+" "+ending+" "+way, func(t *testing.T) {
					answer := strings.ReplaceAll(text, "\n", lineEnd)
					stream := newStream(io.NopCloser(limit(strings.NewReader(answer))))
					var one, two, none Chunk
					for index, err := range []error{stream.Next(&one), stream.Next(&two), stream.Next(&none)} {
						if isEnd := index == 2; isEnd && !errors.Is(err, ErrDone) || !isEnd && err != nil {
							t.Fatalf("chunk %d: %v", index, err)
						}
					}
					if one.Text != " a" || two.Sequence != 1 || two.Finish != "stop" {
						t.Errorf("%+v, %+v", one, two)
					}
				})
			}
		}
	}
}

func asIs(reader io.Reader) io.Reader { return reader }

// TestChunkIsReadBeforeTheNextByte guards against tokens that wait for the next one: a carriage return ends a
// line whether or not a line feed follows.
func TestChunkIsReadBeforeTheNextByte(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		reader, writer := io.Pipe()
		stream := newStream(reader)
		go func() {
			_, _ = io.WriteString(writer, `data: {"id":"r1","attempt":1,"sequence":0,"text":"a"}`+lineEnd+lineEnd)
		}()
		var chunk Chunk
		if err := stream.Next(&chunk); err != nil || chunk.Text != "a" {
			t.Errorf("%q: %+v, %v", lineEnd, chunk, err)
		}
		stream.Close()
	}
}

// TestStreamCutAnywhereIsNeverWhole guards against taking an end of the connection for one of the stream.
func TestStreamCutAnywhereIsNeverWhole(t *testing.T) {
	const answer = `data: {"id":"r1","attempt":1,"sequence":0,"text":" a"}` + "\n\n" +
		`data: {"id":"r1","attempt":1,"sequence":10,"finish":"stop"}` + "\n\ndata: [DONE]"
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		text := strings.ReplaceAll(answer, "\n", lineEnd)
		for length := range len(text) + 1 {
			stream := newStream(io.NopCloser(strings.NewReader(text[:length])))
			var chunk Chunk
			var err error
			for err == nil {
				chunk = Chunk{}
				err = stream.Next(&chunk)
				if err == nil && chunk.Text != " a" && chunk.Sequence != 10 {
					t.Errorf("%q was read from %q", chunk.Text, text[:length])
				}
			}
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%q ended with %v", text[:length], err)
			}
		}
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

// TestNextSaysThatItWaits guards against tokens that are held for others which have not come: neither the blank line
// behind an event, nor a comment, nor a part of the next event ends the wait.
func TestNextSaysThatItWaits(t *testing.T) {
	const event = `data: {"id":"r","attempt":1,"sequence":0,"text":"a"}` + "\n\n"
	errWaits := errors.New("waits")
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"alone":                        {event, errWaits},
		"with carriage returns":        {strings.ReplaceAll(event, "\n", "\r\n"), errWaits},
		"followed by the next":         {event + event, nil},
		"followed by half of the next": {event + event[:20], errWaits},
		"followed by a comment":        {event + ": here\n\n", errWaits},
		"followed by the end":          {event + "data: [DONE]\n\n", ErrDone},
	} {
		t.Run(name, func(t *testing.T) {
			stream := newStream(io.NopCloser(strings.NewReader(c.text)))
			var chunk Chunk
			if err := stream.Next(&chunk); err != nil {
				t.Fatal(err)
			}
			stream.BeforeWait(func() error { return errWaits })
			if err := stream.Next(&chunk); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
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

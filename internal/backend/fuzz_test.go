package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzChunk holds that the reading without encoding/json takes only what the
// latter takes, with the same result.
func FuzzChunk(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","attempt":1,"sequence":0,"text":" one"}`,
		`{"id":"a","attempt":1,"sequence":3,"text":"","finish":"stop"}`,
		`{"id":"a","attempt":01,"sequence":0,"text":"x"}`,
		`{"id":"\u0061","attempt":1,"sequence":999999999,"text":"é\n"}`,
		`{"id":"a","attempt":1,"sequence":0,"text":"<&>"} `, `null`, `{`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var plain, whole Chunk
		if !decodePlainChunk(data, "", &plain) {
			return
		}
		if err := json.Unmarshal(data, &whole); err != nil {
			t.Fatalf("%q was taken, but is %v", data, err)
		}
		if difference := cmp.Diff(whole, plain); difference != "" {
			t.Fatalf("%q (-json +plain):\n%s", data, difference)
		}
	})
}

// FuzzStream holds that any answer of an engine ends: in the terminator, in the
// end of the connection, or in what is no protocol, with bounded memory.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"a\",\"attempt\":1,\"sequence\":0,\"text\":\"x\"}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"a\",\"attempt\":1,\"sequence\":0,\"text\":\"x\"}", "event: x\r\n\r\ndata:[DONE]\r\n", ": ping\n\n", "data: {\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		stream := newStream(io.NopCloser(bytes.NewReader(answer)))
		defer stream.Close()
		var chunk Chunk
		for chunks := 0; ; chunks++ {
			err := stream.Next(&chunk)
			if err == nil {
				if chunks > len(answer) {
					t.Fatalf("%d chunks in %d bytes", chunks, len(answer))
				}
				continue
			}
			var protocol *ProtocolError
			isEnd := errors.Is(err, ErrDone) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &protocol)
			if !isEnd || cap(stream.long) > 2*(maxEventBytes+streamBufferBytes) {
				t.Fatalf("%v, %d bytes held", err, cap(stream.long))
			}
			return
		}
	})
}

// FuzzBody holds that what an engine gets is the caller's body, but for what
// the node alone may say.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","stream":false,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`,
		`{"continue_from":["a"],"stream":true}`, `{"prompt":"p","n":1e9}`, `null`, `[]`, `{"a":{"a":1},"a":2}`, `{"":""}`,
		`{"CONTINUE_FROM":["a"]}`, `{"\u017Ftream":false}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := ParseBody(text)
		if err != nil {
			return
		}
		if body == nil {
			t.Fatalf("%q was taken for an object", text)
		}
		encoded, err := body.encode(nil)
		if err != nil {
			t.Fatalf("%q does not encode again: %v", text, err)
		}
		var request CompletionRequest
		if json.Unmarshal(encoded, &request) == nil && (!request.Stream || len(request.ContinueFrom) > 0) {
			t.Fatalf("%q became %q", text, encoded)
		}
		again, err := ParseBody(encoded)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := again.encode(nil)
		if err != nil || !bytes.Equal(encoded, twice) {
			t.Fatalf("%q became %q, then %q", text, encoded, twice)
		}
		prompt := PromptText(text)
		if len(prompt) > 6*len(text) || len(PrefixHashes(prompt)) > PromptTokens(prompt) {
			t.Fatalf("%d bytes of prompt in %d", len(prompt), len(text))
		}
	})
}

package backend

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzChunk checks that decodeChunkFast accepts only input that encoding/json
// accepts, with the same result.
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
		var got, want Chunk
		if !decodeChunkFast(data, "", &got) {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("%q was accepted, but encoding/json returns %v", data, err)
		}
		if difference := cmp.Diff(want, got); difference != "" {
			t.Fatalf("%q (-encoding/json +decodeChunkFast):\n%s", data, difference)
		}
	})
}

// FuzzStream checks that reading any response ends with bounded memory: at the
// terminator, at the end of the connection, or with a protocol error.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"data: {\"id\":\"a\",\"attempt\":1,\"sequence\":0,\"text\":\"x\"}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"a\",\"attempt\":1,\"sequence\":0,\"text\":\"x\"}", "event: x\r\n\r\ndata:[DONE]\r\n", ": ping\n\n", "data: {\n",
		"data: {\"id\":\"a\",\rdata: \"sequence\":0}\r\rdata: [DONE]\r", "data: {\r\n\ndata: }\n\r",
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
					t.Fatalf("%d chunks read from %d bytes", chunks, len(answer))
				}
				continue
			}
			var protocol *ProtocolError
			isExpectedEnd := errors.Is(err, ErrDone) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &protocol)
			if !isExpectedEnd || max(cap(stream.longLine), cap(stream.data)) > 2*(maxEventBytes+streamBufferBytes) {
				t.Fatalf("stream ended with %v and buffers of %d and %d bytes", err, cap(stream.longLine), cap(stream.data))
			}
			return
		}
	})
}

// FuzzBody checks that an engine gets the caller's body, except for the members
// that only the node may set.
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
			t.Fatalf("%q was accepted as an object", text)
		}
		encoded, err := body.encode(nil)
		if err != nil {
			t.Fatalf("%q cannot be encoded: %v", text, err)
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
			t.Fatalf("prompt text of %d bytes from a body of %d bytes", len(prompt), len(text))
		}
	})
}

package peer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// recordedBuilds returns the recorded messages of earlier builds, by file and message name.
func recordedBuilds(t *testing.T) map[string]map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "builds", "*.json"))
	if err != nil || len(paths) < 3 {
		t.Fatalf("%d recorded builds, want at least 3 (%v)", len(paths), err)
	}
	all := make(map[string]map[string][]byte)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		messages := make(map[string][]byte)
		if err := json.Unmarshal(text, &messages); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		all[filepath.Base(path)] = messages
	}
	return all
}

// TestMessagesOfLandedBuildsAreRead guards against incompatible changes of messages. Nodes of two
// builds run side by side during a rollout, so each field must keep its number, encoding and
// meaning: a message of an earlier build must decode and encode again to the same bytes.
func TestMessagesOfLandedBuildsAreRead(t *testing.T) {
	for build, messages := range recordedBuilds(t) {
		for name, recorded := range messages {
			message := newMessage(name)
			if err := proto.Unmarshal(recorded, message); err != nil {
				t.Errorf("%s: %s: %v", build, name, err)
				continue
			}
			if unknownIn := messageWithUnknownFields(message.ProtoReflect()); unknownIn != "" {
				t.Errorf("%s: %s: message %s has unknown fields", build, name, unknownIn)
			}
			encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
			if err != nil || !bytes.Equal(encoded, recorded) {
				t.Errorf("%s: %s: encoded as %x, was recorded as %x (%v)", build, name, encoded, recorded, err)
			}
		}
	}
}

// newMessage returns an empty message of the type that was recorded under the name.
func newMessage(name string) proto.Message {
	switch name {
	case "snapshot request":
		return &peerpb.SnapshotRequest{}
	case "snapshot response":
		return &peerpb.SnapshotResponse{}
	}
	if messageType, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName(name)); err == nil {
		return messageType.New().Interface()
	}
	return &peerpb.NodeState{}
}

// messageWithUnknownFields returns the name of a message, at any depth, that has unknown fields, or
// "" if there is none.
func messageWithUnknownFields(message protoreflect.Message) string {
	if len(message.GetUnknown()) > 0 {
		return string(message.Descriptor().FullName())
	}
	found := ""
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList() && field.Message() != nil:
			for i := range value.List().Len() {
				found = messageWithUnknownFields(value.List().Get(i).Message())
			}
		case field.Message() != nil:
			found = messageWithUnknownFields(value.Message())
		}
		return found == ""
	})
	return found
}

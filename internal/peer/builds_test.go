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

// builds are the messages of landed builds, as they were recorded there.
func builds(t *testing.T) map[string]map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "builds", "*.json"))
	if err != nil || len(paths) < 3 {
		t.Fatalf("%d builds are recorded, %v", len(paths), err)
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

// TestMessagesOfLandedBuildsAreRead: nodes of two builds stand side by side while machines are
// replaced. Each field has the number, the form and the meaning that it had: what is read is
// written as it came.
func TestMessagesOfLandedBuildsAreRead(t *testing.T) {
	for build, messages := range builds(t) {
		for name, recorded := range messages {
			message := messageNamed(name)
			if err := proto.Unmarshal(recorded, message); err != nil {
				t.Errorf("%s: %s: %v", build, name, err)
				continue
			}
			if unknown := unknownFields(message.ProtoReflect()); unknown != "" {
				t.Errorf("%s: %s: nobody reads %s any more", build, name, unknown)
			}
			again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
			if err != nil || !bytes.Equal(again, recorded) {
				t.Errorf("%s: %s: written as %x, was %x (%v)", build, name, again, recorded, err)
			}
		}
	}
}

// messageNamed is an empty message of the kind that was recorded under the name.
func messageNamed(name string) proto.Message {
	switch name {
	case "snapshot request":
		return &peerpb.SnapshotRequest{}
	case "snapshot response":
		return &peerpb.SnapshotResponse{}
	}
	if kind, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName(name)); err == nil {
		return kind.New().Interface()
	}
	return &peerpb.NodeState{}
}

// unknownFields names the first message in which something stands that is not read.
func unknownFields(message protoreflect.Message) string {
	if len(message.GetUnknown()) > 0 {
		return string(message.Descriptor().FullName())
	}
	found := ""
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList() && field.Message() != nil:
			for i := range value.List().Len() {
				found = unknownFields(value.List().Get(i).Message())
			}
		case field.Message() != nil:
			found = unknownFields(value.Message())
		}
		return found == ""
	})
	return found
}

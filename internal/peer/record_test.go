package peer

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// recordBuild names the commit whose messages are written to testdata: go test ./internal/peer
// -run TestRecordMessages -record COMMIT, at that commit.
var recordBuild = flag.String("record", "", "the commit to record the messages of")

// recordedMessages are those by which nodes speak, with all fields that the build has set: of
// those on the operators' platform by what they are for, of all by their names.
func recordedMessages() map[string]proto.Message {
	messages := platformMessages()
	ofPeers := peerpb.File_control_proto.Package()
	protoregistry.GlobalTypes.RangeMessages(func(message protoreflect.MessageType) bool {
		if descriptor := message.Descriptor(); descriptor.ParentFile().Package() == ofPeers && !descriptor.IsMapEntry() {
			messages[string(descriptor.FullName())] = filled(message.New().Interface())
		}
		return true
	})
	return messages
}

func platformMessages() map[string]proto.Message {
	state := filled(&peerpb.NodeState{}).(*peerpb.NodeState)
	state.Quota, state.Trial, state.Spread = nil, nil, nil
	return map[string]proto.Message{
		"state":             state,
		"quota":             &peerpb.NodeState{Quota: filled(&peerpb.QuotaCall{}).(*peerpb.QuotaCall)},
		"trial":             &peerpb.NodeState{Trial: filled(&peerpb.TrialCall{}).(*peerpb.TrialCall)},
		"snapshot request":  filled(&peerpb.SnapshotRequest{}),
		"snapshot response": filled(&peerpb.SnapshotResponse{}),
	}
}

func TestRecordMessages(t *testing.T) {
	if *recordBuild == "" {
		t.Skip("not asked for: -record COMMIT")
	}
	recorded := make(map[string][]byte)
	for name, message := range recordedMessages() {
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		recorded[name] = encoded
	}
	text, err := json.MarshalIndent(recorded, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join("testdata", "builds", *recordBuild+".json"), append(text, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}

// filled sets all fields of a message.
func filled(message proto.Message) proto.Message {
	fill(message.ProtoReflect())
	return message
}

func fill(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList() && field.Message() != nil:
			fill(message.Mutable(field).List().AppendMutable().Message())
		case field.IsList():
			message.Mutable(field).List().Append(scalar(field))
		case field.IsMap():
		case field.Message() != nil:
			fill(message.Mutable(field).Message())
		default:
			message.Set(field, scalar(field))
		}
	}
}

// texts are those that stand for something.
var texts = map[protoreflect.Name]string{"address": "127.0.0.1:9", "server": "i-1", "service": "s", "zone": "z", "asker": "127.0.0.1:9"}

// scalar is a value for a field, by its number.
func scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	number := int64(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		if text, ok := texts[field.Name()]; ok {
			return protoreflect.ValueOfString(text)
		}
		return protoreflect.ValueOfString(string(field.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte("0123456789abcdef"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int64Kind, protoreflect.Sint64Kind:
		return protoreflect.ValueOfInt64(number)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number))
	default:
		panic("record: a field of kind " + field.Kind().String())
	}
}

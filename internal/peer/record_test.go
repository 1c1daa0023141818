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

// recordBuild is the commit whose messages TestRecordMessages writes to testdata. Run it at that
// commit: go test ./internal/peer -run TestRecordMessages -record COMMIT.
var recordBuild = flag.String("record", "", "commit whose messages are recorded")

// sampleMessages returns messages between nodes with all fields of this build set: those on the
// operators' platform by purpose, and every type in the peers' package by its full name.
func sampleMessages() map[string]proto.Message {
	messages := platformMessages()
	peerPackage := peerpb.File_control_proto.Package()
	protoregistry.GlobalTypes.RangeMessages(func(message protoreflect.MessageType) bool {
		if descriptor := message.Descriptor(); descriptor.ParentFile().Package() == peerPackage && !descriptor.IsMapEntry() {
			messages[string(descriptor.FullName())] = withAllFields(message.New().Interface())
		}
		return true
	})
	return messages
}

func platformMessages() map[string]proto.Message {
	state := withAllFields(&peerpb.NodeState{}).(*peerpb.NodeState)
	state.Quota, state.Trial, state.Spread = nil, nil, nil
	return map[string]proto.Message{
		"state":             state,
		"quota":             &peerpb.NodeState{Quota: withAllFields(&peerpb.QuotaCall{}).(*peerpb.QuotaCall)},
		"trial":             &peerpb.NodeState{Trial: withAllFields(&peerpb.TrialCall{}).(*peerpb.TrialCall)},
		"snapshot request":  withAllFields(&peerpb.SnapshotRequest{}),
		"snapshot response": withAllFields(&peerpb.SnapshotResponse{}),
	}
}

func TestRecordMessages(t *testing.T) {
	if *recordBuild == "" {
		t.Skip("records messages only with -record COMMIT")
	}
	recorded := make(map[string][]byte)
	for name, message := range sampleMessages() {
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

// withAllFields sets all fields of a message except maps and returns it.
func withAllFields(message proto.Message) proto.Message {
	fillFields(message.ProtoReflect())
	return message
}

func fillFields(message protoreflect.Message) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList() && field.Message() != nil:
			fillFields(message.Mutable(field).List().AppendMutable().Message())
		case field.IsList():
			message.Mutable(field).List().Append(sampleValue(field))
		case field.IsMap():
		case field.Message() != nil:
			fillFields(message.Mutable(field).Message())
		default:
			message.Set(field, sampleValue(field))
		}
	}
}

// sampleStrings holds values for string fields whose name alone would not be a usable value.
var sampleStrings = map[protoreflect.Name]string{"address": "127.0.0.1:9", "server": "i-1", "service": "s", "zone": "z", "asker": "127.0.0.1:9"}

// sampleValue returns a value for a scalar field; numeric values equal the field's number.
func sampleValue(field protoreflect.FieldDescriptor) protoreflect.Value {
	number := int64(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		if text, ok := sampleStrings[field.Name()]; ok {
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
		panic("no sample value for a field of kind " + field.Kind().String())
	}
}

package verify

import (
	"encoding/binary"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// leadershipFields lists the fields of leadership.Core that are maps, slices or pointers,
// and whether the core modifies what they refer to; those are copied.
var leadershipFields = map[string]bool{
	"addresses": false,
	"gone":      false,
	"engines":   true,
	"effects":   false,
}

// TestLeadershipCoreIsCopiedWhole fails if the core gets a field that two states
// would share after copyCore.
func TestLeadershipCoreIsCopiedWhole(t *testing.T) {
	core := reflect.TypeFor[leadership.Core]()
	for index := range core.NumField() {
		field := core.Field(index)
		switch field.Type.Kind() {
		case reflect.Map, reflect.Slice, reflect.Pointer:
			if _, known := leadershipFields[field.Name]; !known {
				t.Errorf("copyCore does not handle the field %s", field.Name)
			}
		default:
		}
	}
}

// fieldIndexes maps the names of a struct's fields to their indexes.
type fieldIndexes map[string]int

func fieldsOf(kind reflect.Type) fieldIndexes {
	indexes := make(fieldIndexes)
	for index := range kind.NumField() {
		indexes[kind.Field(index).Name] = index
	}
	return indexes
}

func (f fieldIndexes) get(value reflect.Value, name string) reflect.Value {
	index, found := f[name]
	if !found {
		panic("leadership.Core has no field " + name)
	}
	return value.Field(index)
}

var (
	coreFields   = fieldsOf(reflect.TypeFor[leadership.Core]())
	engineFields = fieldsOf(fieldType("engines").Elem().Elem())
	recordFields = fieldsOf(fieldType("record"))
)

func fieldType(name string) reflect.Type {
	return reflect.TypeFor[leadership.Core]().Field(coreFields[name]).Type
}

// coreField returns a field of the core by name, including unexported ones.
func coreField(core *leadership.Core, name string) reflect.Value {
	return coreFields.get(reflect.ValueOf(core).Elem(), name)
}

// copyCore returns an independent copy of the core.
func copyCore(core *leadership.Core) *leadership.Core {
	copied := *core
	field := coreField(&copied, "engines")
	if field.IsNil() {
		return &copied
	}
	engines := reflect.MakeMap(field.Type())
	for entries := coreField(core, "engines").MapRange(); entries.Next(); {
		source := settable(entries.Value().Elem())
		engine := reflect.New(source.Type())
		engine.Elem().Set(source)
		engines.SetMapIndex(reflect.ValueOf(fleet.BackendName(entries.Key().String())), engine)
	}
	settable(field).Set(engines)
	return &copied
}

// settable returns the value without the restrictions of reflect on unexported fields.
func settable(value reflect.Value) reflect.Value {
	return reflect.NewAt(value.Type(), value.Addr().UnsafePointer()).Elem()
}

// The phases of a core that the model distinguishes.
const (
	phaseIdle     = 0
	phaseReading  = 1
	phaseLearning = 2
)

func phaseOf(core *leadership.Core) int {
	return int(coreField(core, "phase").Int())
}

// appendCore encodes everything that affects the core's further behaviour. Request IDs are
// encoded relative to the newest one. Of times only their order relative to the leader's
// clock matters, because the clock may jump to the next wake time at any moment.
func appendCore(key []byte, core *leadership.Core, now time.Time) []byte {
	sequence := core.LastRequestID()
	passed := func(name string) uint64 {
		instant := settable(coreField(core, name)).Interface().(time.Time)
		if now.Before(instant) {
			return 0
		}
		return 1
	}
	numbers := []uint64{
		uint64(coreField(core, "phase").Int()),
		passed("deadline"), passed("notBefore"),
		sequence - coreField(core, "learnID").Uint(),
		coreField(core, "followed").Uint(),
		core.RoundRecord().Generation,
		recordFields.get(coreField(core, "record"), "Generation").Uint(),
		uint64(core.Fence()),
		coreField(core, "highest").Uint(),
	}
	for _, number := range numbers {
		key = binary.AppendUvarint(key, number)
	}
	engines := coreField(core, "engines")
	progress := make(map[string]reflect.Value, engines.Len())
	for entries := engines.MapRange(); entries.Next(); {
		progress[entries.Key().String()] = entries.Value().Elem()
	}
	for _, name := range slices.Sorted(maps.Keys(progress)) {
		key = appendEngine(append(key, name...), progress[name], sequence)
	}
	return append(key, 0)
}

func modelsOf(engine reflect.Value) int {
	return engineFields.get(engine, "state").FieldByName("Models").Len()
}

func appendEngine(key []byte, engine reflect.Value, sequence uint64) []byte {
	asked := engineFields.get(engine, "asked").Uint()
	if asked != 0 {
		asked = sequence - asked + 1
	}
	key = binary.AppendUvarint(key, asked)
	key = binary.AppendUvarint(key, engineFields.get(engine, "incarnation").Uint())
	key = binary.AppendUvarint(key, uint64(modelsOf(engine)))
	for _, flag := range []string{"read", "granted", "verified"} {
		key = appendBool(key, engineFields.get(engine, flag).Bool())
	}
	return key
}

func appendBool(key []byte, flag bool) []byte {
	if flag {
		return append(key, 1)
	}
	return append(key, 0)
}

// incarnationOf returns the engine's incarnation that the round's claim named.
func incarnationOf(core *leadership.Core, name fleet.BackendName) uint64 {
	return engineNumber(core, name, "incarnation")
}

// pendingRequestID returns the ID of the request that the engine has not answered yet.
func pendingRequestID(core *leadership.Core, name fleet.BackendName) uint64 {
	return engineNumber(core, name, "asked")
}

func engineNumber(core *leadership.Core, name fleet.BackendName, field string) uint64 {
	engine := coreField(core, "engines").MapIndex(reflect.ValueOf(name))
	if !engine.IsValid() {
		return 0
	}
	return engineFields.get(engine.Elem(), field).Uint()
}

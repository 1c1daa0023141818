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

// leadershipFields are the fields of leadership.Core that are maps, slices or
// pointers, and whether the core changes what they hold: those are copied.
var leadershipFields = map[string]bool{
	"addresses": false,
	"gone":      false,
	"engines":   true,
	"effects":   false,
}

// TestLeadershipCoreIsCopiedWhole fails where the core gets a field that
// copyCore would share between two states.
func TestLeadershipCoreIsCopiedWhole(t *testing.T) {
	core := reflect.TypeFor[leadership.Core]()
	for index := range core.NumField() {
		field := core.Field(index)
		switch field.Type.Kind() {
		case reflect.Map, reflect.Slice, reflect.Pointer:
			if _, known := leadershipFields[field.Name]; !known {
				t.Errorf("copyCore does not know the field %s", field.Name)
			}
		default:
		}
	}
}

// fields are the places of a struct's fields by name.
type fields map[string]int

func fieldsOf(kind reflect.Type) fields {
	places := make(fields)
	for index := range kind.NumField() {
		places[kind.Field(index).Name] = index
	}
	return places
}

func (f fields) of(value reflect.Value, name string) reflect.Value {
	place, found := f[name]
	if !found {
		panic("the core has no field " + name)
	}
	return value.Field(place)
}

var (
	coreFields   = fieldsOf(reflect.TypeFor[leadership.Core]())
	engineFields = fieldsOf(fieldType("engines").Elem().Elem())
	recordFields = fieldsOf(fieldType("record"))
)

func fieldType(name string) reflect.Type {
	return reflect.TypeFor[leadership.Core]().Field(coreFields[name]).Type
}

// coreField reads an unexported field.
func coreField(core *leadership.Core, name string) reflect.Value {
	return coreFields.of(reflect.ValueOf(core).Elem(), name)
}

// copyCore returns an independent copy.
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

// settable lifts the bar on unexported fields.
func settable(value reflect.Value) reflect.Value {
	return reflect.NewAt(value.Type(), value.Addr().UnsafePointer()).Elem()
}

// The phases of a core that the model tells apart.
const (
	phaseIdle     = 0
	phaseReading  = 1
	phaseLearning = 2
)

func phaseOf(core *leadership.Core) int {
	return int(coreField(core, "phase").Int())
}

// appendCore encodes what bears on the core's further behaviour. Numbers of
// questions count from the newest, and of times only their order to the
// leader's clock matters, since that may jump to the next wake at any moment.
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
		recordFields.of(coreField(core, "record"), "Generation").Uint(),
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
		key = appendProgress(append(key, name...), progress[name], sequence)
	}
	return append(key, 0)
}

func modelsOf(engine reflect.Value) int {
	return engineFields.of(engine, "state").FieldByName("Models").Len()
}

func appendProgress(key []byte, engine reflect.Value, sequence uint64) []byte {
	asked := engineFields.of(engine, "asked").Uint()
	if asked != 0 {
		asked = sequence - asked + 1
	}
	key = binary.AppendUvarint(key, asked)
	key = binary.AppendUvarint(key, engineFields.of(engine, "incarnation").Uint())
	key = binary.AppendUvarint(key, uint64(modelsOf(engine)))
	for _, flag := range []string{"read", "granted", "verified"} {
		key = appendBool(key, engineFields.of(engine, flag).Bool())
	}
	return key
}

func appendBool(key []byte, flag bool) []byte {
	if flag {
		return append(key, 1)
	}
	return append(key, 0)
}

// incarnationOf is the engine's incarnation that the round's claim named.
func incarnationOf(core *leadership.Core, name fleet.BackendName) uint64 {
	return engineNumber(core, name, "incarnation")
}

// askedOf is the number of the question that the engine's answer is awaited to.
func askedOf(core *leadership.Core, name fleet.BackendName) uint64 {
	return engineNumber(core, name, "asked")
}

func engineNumber(core *leadership.Core, name fleet.BackendName, field string) uint64 {
	engine := coreField(core, "engines").MapIndex(reflect.ValueOf(name))
	if !engine.IsValid() {
		return 0
	}
	return engineFields.of(engine.Elem(), field).Uint()
}

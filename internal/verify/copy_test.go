package verify

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
)

// deepCopy returns an independent copy of the value that the pointer points to. Slots
// are shared because they are never modified, and random sources because they only draw
// delays, which the models leave out.
func deepCopy[T any](original *T) *T {
	copied := new(T)
	reflect.ValueOf(copied).Elem().Set(copyValue(reflect.ValueOf(original).Elem()))
	return copied
}

var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[time.Time]():  true,
	reflect.TypeFor[*rand.Rand](): true,
	reflect.TypeFor[claim.Slot](): true,
	reflect.TypeFor[claim.Seat](): true,
}

func copyValue(value reflect.Value) reflect.Value {
	if sharedTypes[value.Type()] {
		return value
	}
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return value
		}
		copied := reflect.New(value.Type().Elem())
		copied.Elem().Set(copyValue(value.Elem()))
		return copied
	case reflect.Struct:
		source, copied := addressable(value), reflect.New(value.Type()).Elem()
		for index := range source.NumField() {
			settable(copied.Field(index)).Set(copyValue(settable(source.Field(index))))
		}
		return copied
	case reflect.Map:
		return copyMap(value)
	case reflect.Slice:
		if value.IsNil() {
			return value
		}
		copied := reflect.MakeSlice(value.Type(), value.Len(), value.Len())
		for index := range value.Len() {
			copied.Index(index).Set(copyValue(value.Index(index)))
		}
		return copied
	default:
		return value
	}
}

func copyMap(value reflect.Value) reflect.Value {
	if value.IsNil() {
		return value
	}
	copied := reflect.MakeMapWithSize(value.Type(), value.Len())
	for entries := value.MapRange(); entries.Next(); {
		copied.SetMapIndex(entries.Key(), copyValue(entries.Value()))
	}
	return copied
}

// addressable returns the value, or an addressable copy of it.
func addressable(value reflect.Value) reflect.Value {
	if value.CanAddr() {
		return value
	}
	copied := reflect.New(value.Type()).Elem()
	copied.Set(value)
	return copied
}

// appendValue encodes a value so that equal values have equal encodings. It encodes only
// whether a time is set and only the version of a slot, and leaves the ignored fields out.
func appendValue(key []byte, value reflect.Value, ignored map[string]bool) []byte {
	if value.Type() == reflect.TypeFor[time.Time]() {
		return appendBool(key, !addressable(value).Addr().Interface().(*time.Time).IsZero())
	}
	if value.Type() == reflect.TypeFor[claim.Slot]() {
		return binary.AppendUvarint(key, value.FieldByName("Version").Uint())
	}
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return append(key, 0)
		}
		return appendValue(append(key, 1), value.Elem(), ignored)
	case reflect.Struct:
		source := addressable(value)
		for index := range source.NumField() {
			if !ignored[source.Type().Field(index).Name] {
				key = appendValue(key, settable(source.Field(index)), ignored)
			}
		}
		return key
	case reflect.Map:
		return appendMap(key, value, ignored)
	case reflect.Slice:
		key = binary.AppendUvarint(key, uint64(value.Len()))
		for index := range value.Len() {
			key = appendValue(key, value.Index(index), ignored)
		}
		return key
	case reflect.String:
		return append(append(key, value.String()...), 0)
	case reflect.Bool:
		return appendBool(key, value.Bool())
	case reflect.Int, reflect.Int64:
		return binary.AppendVarint(key, value.Int())
	case reflect.Uint64, reflect.Uint8:
		return binary.AppendUvarint(key, value.Uint())
	case reflect.Float64:
		return key
	default:
		panic(fmt.Sprintf("no encoding for type %s", value.Type()))
	}
}

func appendMap(key []byte, value reflect.Value, ignored map[string]bool) []byte {
	encoded := make(map[string]reflect.Value, value.Len())
	for entries := value.MapRange(); entries.Next(); {
		encoded[string(appendValue(nil, entries.Key(), ignored))] = entries.Value()
	}
	key = binary.AppendUvarint(key, uint64(len(encoded)))
	for _, name := range slices.Sorted(maps.Keys(encoded)) {
		key = appendValue(append(key, name...), encoded[name], ignored)
	}
	return key
}

// TestDeepCopyIsIndependent changes a copy at several depths.
func TestDeepCopyIsIndependent(t *testing.T) {
	type inner struct{ names []string }
	type outer struct {
		hidden map[string]*inner
		since  time.Time
	}
	original := &outer{hidden: map[string]*inner{"a": {names: []string{"x"}}}, since: startTime}
	before := appendValue(nil, reflect.ValueOf(original), nil)
	copied := deepCopy(original)
	if after := appendValue(nil, reflect.ValueOf(copied), nil); !slices.Equal(before, after) {
		t.Error("the copy differs from the original")
	}
	copied.hidden["a"].names[0] = "y"
	copied.hidden["b"] = &inner{}
	if after := appendValue(nil, reflect.ValueOf(original), nil); !slices.Equal(before, after) {
		t.Error("the original changed with the copy")
	}
	if after := appendValue(nil, reflect.ValueOf(copied), nil); slices.Equal(before, after) {
		t.Error("the encoding does not reflect the change")
	}
}

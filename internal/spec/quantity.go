package spec

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// byteUnits lists the suffixes of sizes, longest first.
var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3},
	{"B", 1},
}

// ParseBytes parses a size such as 14GiB, 1.5GiB, 300MB or 4096.
func ParseBytes(text string) (Bytes, error) {
	number, factor := text, int64(1)
	for _, unit := range byteUnits {
		if rest, found := strings.CutSuffix(text, unit.suffix); found {
			number, factor = rest, unit.factor
			break
		}
	}
	if whole, err := strconv.ParseInt(number, 10, 64); err == nil {
		if whole < 0 || whole > math.MaxInt64/factor {
			return 0, fmt.Errorf("size %q is out of range", text)
		}
		return Bytes(whole * factor), nil
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil || strings.ContainsAny(number, "eExXpP_") || math.IsNaN(value) {
		return 0, fmt.Errorf("%q is no size", text)
	}
	size := value * float64(factor)
	if size < 0 || size >= math.MaxInt64 {
		return 0, fmt.Errorf("size %q is out of range", text)
	}
	return Bytes(size), nil
}

// String formats the size in the largest binary unit that divides it.
func (b Bytes) String() string {
	for _, unit := range byteUnits[:4] {
		if b != 0 && int64(b)%unit.factor == 0 {
			return strconv.FormatInt(int64(b)/unit.factor, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10)
}

// MarshalJSON encodes the size as a number of bytes.
func (b Bytes) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, int64(b), 10), nil
}

// UnmarshalJSON decodes a number of bytes or a string such as "14GiB".
func (b *Bytes) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*int64)(b))
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	size, err := ParseBytes(text)
	if err != nil {
		return err
	}
	*b = size
	return nil
}

// String returns the form of Go durations, such as 1m30s.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalJSON encodes the duration as a string such as "1m30s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes a string such as "1m30s" or a number of nanoseconds.
func (d *Duration) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*int64)(d))
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(span)
	return nil
}

package scale

import (
	"bytes"
	"compress/gzip"
	"math"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/spanlanding/spanlanding/internal/node"
)

func TestALineIsFoundWithItsResidual(t *testing.T) {
	fit, enough := fitLine(Fit{At: []float64{1, 2, 3, 4}, Measured: []float64{6, 8, 8, 10}, Target: 10})
	if !enough {
		t.Fatal("four points are enough")
	}
	for name, pair := range map[string][2]float64{
		"slope":     {fit.Slope, 1.2},
		"intercept": {fit.Intercept, 5},
		"at target": {fit.AtTarget, 17},
		"residual":  {fit.Residual, math.Sqrt(0.2)},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, pair[0], pair[1])
		}
	}
	if _, enough := fitLine(Fit{At: []float64{1, 2, 3}, Measured: []float64{1, 2, 3}}); enough {
		t.Error("three points got a line")
	}
}

func TestSamplesAreCountedByTheirLabels(t *testing.T) {
	table := []string{"", node.ProfileNode, "a", node.ProfilePart, "control", "cpu"}
	var profile []byte
	for _, text := range table {
		profile = appendMessage(profile, fieldStringTable, []byte(text))
	}
	label := func(key, value uint64) []byte {
		return appendNumber(appendNumber(nil, fieldKey, key), fieldText, value)
	}
	values := protowire.AppendVarint(protowire.AppendVarint(nil, 7), 7_000_000)
	sample := appendMessage(nil, fieldValue, values)
	profile = appendMessage(profile, fieldSample, sample)
	sample = appendMessage(appendMessage(sample, fieldLabel, label(1, 2)), fieldLabel, label(3, 4))
	profile = appendMessage(profile, fieldSample, sample)
	unpacked := appendNumber(appendNumber(nil, fieldValue, 5), fieldValue, 5_000_000)
	unpacked = appendMessage(appendMessage(unpacked, fieldLabel, label(1, 2)), fieldLabel, label(3, 4))
	profile = appendMessage(profile, fieldSample, unpacked)

	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(profile)
	_ = writer.Close()
	counted, err := parseProfile(compressed.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if counted[sampleKey{"a", "control"}] != 12 || counted[sampleKey{}] != 7 || counted.labelled() != 12 {
		t.Errorf("counted %v", counted)
	}
	if _, err := parseProfile(compressed.Bytes()[:len(compressed.Bytes())/2]); err == nil {
		t.Error("half a profile was read")
	}
}

func appendMessage(to []byte, field protowire.Number, content []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(to, field, protowire.BytesType), content)
}

func appendNumber(to []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), value)
}

func TestAPointChangesSeveralVariables(t *testing.T) {
	point, err := ParsePoint("zones=2,nodes=50,requests=7.5")
	if err != nil {
		t.Fatal(err)
	}
	want := Base()
	want.Zones, want.NodesPerZone, want.RequestsPerSecond = 2, 50, 7.5
	if got := point.apply(Base(), 1); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, wrong := range []string{"", "planets=2", "zones", "zones=-1"} {
		if _, err := ParsePoint(wrong); err == nil {
			t.Errorf("%q was taken", wrong)
		}
	}
}

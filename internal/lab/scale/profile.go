package scale

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"runtime"
	"runtime/pprof"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/spanlanding/spanlanding/internal/node"
)

// profileHertz is how often a running thread is sampled.
const profileHertz = 400

// standInLabel takes the place of a node's name for all that is no node.
const standInLabel = "stand-ins"

// profiler samples the process.
type profiler struct{ content bytes.Buffer }

// startProfile begins to sample. The runtime says on the error output that the
// rate stays as it was set here: that is meant.
func startProfile() (*profiler, error) {
	created := &profiler{}
	runtime.SetCPUProfileRate(profileHertz)
	if err := pprof.StartCPUProfile(&created.content); err != nil {
		return nil, err
	}
	return created, nil
}

// stop returns the samples by node and part.
func (p *profiler) stop() (samples, error) {
	pprof.StopCPUProfile()
	return parseProfile(p.content.Bytes())
}

// samples counts by node and part; those without labels have empty names.
type samples map[sampleKey]int64

type sampleKey struct{ node, part string }

// labelled is the number of samples that name a node or the stand-ins.
func (s samples) labelled() int64 {
	var sum int64
	for key, count := range s {
		if key.node != "" {
			sum += count
		}
	}
	return sum
}

// Fields of the profile's message, its samples and their labels.
const (
	fieldSample      = 2
	fieldStringTable = 6
	fieldValue       = 2
	fieldLabel       = 3
	fieldKey         = 1
	fieldText        = 2
)

var errProfile = errors.New("the processor profile cannot be read")

func parseProfile(compressed []byte) (samples, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	var table []string
	var encoded [][]byte
	err = eachField(content, func(number protowire.Number, _ uint64, bytes []byte) error {
		switch number {
		case fieldSample:
			encoded = append(encoded, bytes)
		case fieldStringTable:
			table = append(table, string(bytes))
		}
		return nil
	})
	counted := make(samples)
	for _, sample := range encoded {
		if err == nil {
			err = counted.add(sample, table)
		}
	}
	return counted, err
}

func (s samples) add(sample []byte, table []string) error {
	var key sampleKey
	var values []uint64
	err := eachField(sample, func(number protowire.Number, value uint64, content []byte) error {
		switch number {
		case fieldValue:
			// Few values are not packed.
			for len(content) > 0 {
				next, length := protowire.ConsumeVarint(content)
				if length < 0 {
					return errProfile
				}
				values = append(values, next)
				content = content[length:]
			}
			values = append(values, value)
		case fieldLabel:
			name, text, err := labelOf(content, table)
			switch name {
			case node.ProfileNode:
				key.node = text
			case node.ProfilePart:
				key.part = text
			}
			return err
		}
		return nil
	})
	if err == nil && len(values) > 0 {
		// The first value counts samples.
		s[key] += int64(values[0])
	}
	return err
}

func labelOf(label []byte, table []string) (name, text string, err error) {
	var key, value uint64
	err = eachField(label, func(number protowire.Number, number64 uint64, _ []byte) error {
		switch number {
		case fieldKey:
			key = number64
		case fieldText:
			value = number64
		}
		return nil
	})
	if err != nil || key >= uint64(len(table)) || value >= uint64(len(table)) {
		return "", "", errors.Join(errProfile, err)
	}
	return table[key], table[value], nil
}

// eachField walks the fields of a message.
func eachField(message []byte, visit func(number protowire.Number, value uint64, content []byte) error) error {
	for len(message) > 0 {
		number, kind, length := protowire.ConsumeTag(message)
		if length < 0 {
			return errProfile
		}
		message = message[length:]
		var value uint64
		var content []byte
		switch kind {
		case protowire.VarintType:
			value, length = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			content, length = protowire.ConsumeBytes(message)
		default:
			length = protowire.ConsumeFieldValue(number, kind, message)
		}
		if length < 0 {
			return errProfile
		}
		message = message[length:]
		if err := visit(number, value, content); err != nil {
			return err
		}
	}
	return nil
}

package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// WriteRecords writes the records as JSON lines.
func WriteRecords(to io.Writer, records []Record) error {
	buffered := bufio.NewWriter(to)
	encoder := json.NewEncoder(buffered)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return fmt.Errorf("write record %s: %w", record.RequestID, err)
		}
	}
	return buffered.Flush()
}

// ReadFaults reads faults from a file of JSON lines. A missing file is treated
// as empty.
func ReadFaults(path string) ([]Fault, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read faults: %w", err)
	}
	var faults []Fault
	for number, line := range bytes.Split(content, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var fault Fault
		if err := json.Unmarshal(line, &fault); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number+1, err)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

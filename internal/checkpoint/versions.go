package checkpoint

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Errors of checkpoints.
var (
	Errors = errorx.NewNamespace("checkpoint")
	// ErrInvalid reports an object whose data cannot be decoded.
	ErrInvalid = Errors.NewType("invalid")
)

// maxVersionBytes bounds each name in a record.
const maxVersionBytes = 256

// VersionRecord holds the software versions that streams of each service may have begun at. A service without
// an entry was not observed.
type VersionRecord map[string][]string

// Has reports whether the record names the version of the service.
func (r VersionRecord) Has(service, version string) bool { return slices.Contains(r[service], version) }

// Covers reports whether the record names all versions of the other one.
func (r VersionRecord) Covers(other VersionRecord) bool {
	for service, versions := range other {
		for _, version := range versions {
			if !r.Has(service, version) {
				return false
			}
		}
	}
	return true
}

// Encode returns the record in the form of an object's data.
func (r VersionRecord) Encode() ([]byte, error) {
	encoded := &peerpb.VersionRecord{}
	for _, service := range slices.Sorted(maps.Keys(r)) {
		encoded.Services = append(encoded.Services, &peerpb.ServiceVersions{Service: service, Versions: slices.Sorted(slices.Values(r[service]))})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(encoded)
}

// DecodeVersionRecord decodes an object's data. A record that is invalid in part is invalid: a version that it
// hid would be taken for one that never served.
func DecodeVersionRecord(data []byte) (VersionRecord, error) {
	var encoded peerpb.VersionRecord
	if err := proto.Unmarshal(data, &encoded); err != nil {
		return nil, ErrInvalid.Wrap(err, "the record of versions")
	}
	record := make(VersionRecord, len(encoded.Services))
	for _, service := range encoded.Services {
		if service.Service == "" || len(service.Service) > maxVersionBytes || len(service.Versions) == 0 {
			return nil, ErrInvalid.New("the record of versions has a service %.40q with %d versions", service.Service, len(service.Versions))
		}
		for _, version := range service.Versions {
			if len(version) > maxVersionBytes {
				return nil, ErrInvalid.New("the record of versions has a version of %d bytes", len(version))
			}
			if !record.Has(service.Service, version) {
				record[service.Service] = append(record[service.Service], version)
			}
		}
	}
	return record, nil
}

package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func encodeOrigin(now time.Time, entry origins.Entry) *peerpb.StreamOrigin {
	return &peerpb.StreamOrigin{
		Key: entry.Key[:], Service: entry.Origin.Service, SoftwareVersion: entry.Origin.SoftwareVersion,
		LeftMs: uint32(max(0, entry.ExpiresAt.Sub(now)).Milliseconds()),
		Server: entry.Server.ID, Born: entry.Server.StartedAtMs, AgeMs: ageMillis(now, entry.RecordedAt),
		Certain: entry.IsCertain,
	}
}

func encodeOrigins(now time.Time, entries []origins.Entry) (encoded []*peerpb.StreamOrigin) {
	for _, entry := range entries {
		encoded = append(encoded, encodeOrigin(now, entry))
	}
	return encoded
}

// decodeOrigin decodes an origin; ok is false if it is absent or invalid.
func decodeOrigin(now time.Time, encoded *peerpb.StreamOrigin) (entry origins.Entry, ok bool) {
	if encoded == nil || encoded.Service == "" || max(len(encoded.Service), len(encoded.SoftwareVersion), len(encoded.Server)) > origins.MaxTextBytes {
		return entry, false
	}
	key, ok := origins.DecodeKey(encoded.Key)
	return origins.Entry{
		Key: key, Origin: origins.Origin{Service: encoded.Service, SoftwareVersion: encoded.SoftwareVersion},
		ExpiresAt: now.Add(time.Duration(encoded.LeftMs) * time.Millisecond),
		Server:    inventory.Start{ID: encoded.Server, StartedAtMs: encoded.Born}, RecordedAt: now.Add(-time.Duration(encoded.AgeMs) * time.Millisecond),
		IsCertain: encoded.Certain,
	}, ok
}

func encodeLostStreams(answer *peerpb.OriginCall, lost origins.LostStreams) {
	if version, ok := lost.Version(); ok {
		answer.LostStreams, answer.LostVersion = peerpb.LostStreams_LOST_STREAMS_AT_VERSION, version
	} else if lost.IsUnknown() {
		answer.LostStreams = peerpb.LostStreams_LOST_STREAMS_UNKNOWN
	}
}

// decodeLostStreams decodes a peer's word; what this build does not know, or is invalid, stands for any version.
func decodeLostStreams(answer *peerpb.OriginCall) origins.LostStreams {
	switch {
	case answer.LostStreams == peerpb.LostStreams_LOST_STREAMS_UNKNOWN:
		return origins.LostAtUnknownVersion()
	case answer.LostStreams == peerpb.LostStreams_LOST_STREAMS_AT_VERSION && answer.LostVersion != "" && len(answer.LostVersion) <= origins.MaxTextBytes:
		return origins.LostAtVersion(answer.LostVersion)
	default:
		return origins.LostStreams{}
	}
}

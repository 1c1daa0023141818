package fleet

import "strings"

// Zone names a failure domain of the platform. Nodes and back ends of one zone can usually reach
// each other when the zone is cut off from others.
type Zone string

// NodeName names one spanlanding process, unique in the fleet.
type NodeName string

// BackendName names one engine or service process, unique in the fleet.
type BackendName string

// DeploymentName names a declared deployment.
type DeploymentName string

// AdapterName names a declared adapter.
type AdapterName string

// RequestID identifies one caller's request across all attempts.
type RequestID string

// ModelVersion identifies the unit that an engine loads: a model at one version.
type ModelVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns the form model@version, which ParseModelVersion parses.
func (m ModelVersion) String() string {
	return m.Model + "@" + m.Version
}

// IsZero reports whether no model is named.
func (m ModelVersion) IsZero() bool {
	return m == ModelVersion{}
}

// MarshalText implements encoding.TextMarshaler, so that a ModelVersion can
// key a JSON object.
func (m ModelVersion) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *ModelVersion) UnmarshalText(text []byte) error {
	*m = ParseModelVersion(string(text))
	return nil
}

// ParseModelVersion parses model@version; text without "@" has no version.
func ParseModelVersion(text string) ModelVersion {
	model, version, _ := strings.Cut(text, "@")
	return ModelVersion{Model: model, Version: version}
}

// Compare orders model versions by name, then version.
func (m ModelVersion) Compare(other ModelVersion) int {
	if byModel := strings.Compare(m.Model, other.Model); byModel != 0 {
		return byModel
	}
	return strings.Compare(m.Version, other.Version)
}

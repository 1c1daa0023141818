package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its content: two requests of one caller with the same content have
// the same fingerprint, whatever request ID each of them has. It is truncated from a SHA-256 digest, so
// that nobody can construct a request that is mistaken for another caller's.
type Fingerprint [16]byte

// Identity is the content that a fingerprint is computed from.
type Identity struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Caller is the caller's API key; empty where none is needed.
	Caller string
	// Model and Adapter are what the request runs on; empty where it needs none.
	Model   string
	Adapter string
	Body    []byte
}

// NewFingerprint computes the fingerprint of a request. Every field is hashed with its length, so that
// two requests whose fields are split differently never get the same fingerprint.
func NewFingerprint(identity Identity) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range []string{
		identity.Method, identity.Host, identity.Target, identity.Caller, identity.Model, identity.Adapter,
	} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(identity.Body)
	var sum [sha256.Size]byte
	return Fingerprint(digest.Sum(sum[:0])[:len(Fingerprint{})])
}

// NewPartFingerprint computes the fingerprint of one part of prompts that a service's servers run. The
// caller is no part of it: a part that crashes servers does so whoever sends it.
func NewPartFingerprint(service, partID string) Fingerprint {
	return NewFingerprint(Identity{Method: "prompt part", Host: service, Target: partID})
}

// Short is the beginning of the fingerprint's text, for log lines with several.
func (f Fingerprint) Short() string { return f.String()[:8] }

// DecodeFingerprint decodes a fingerprint in the form that nodes send; ok is false if it has the wrong
// length.
func DecodeFingerprint(encoded []byte) (fingerprint Fingerprint, ok bool) {
	if len(encoded) != len(fingerprint) {
		return fingerprint, false
	}
	return Fingerprint(encoded), true
}

// ParseFingerprint parses a fingerprint in the form of String; ok is false if it is none.
func ParseFingerprint(name string) (fingerprint Fingerprint, ok bool) {
	decoded, err := hex.DecodeString(name)
	if err != nil {
		return fingerprint, false
	}
	return DecodeFingerprint(decoded)
}

// Key is a hash of the fingerprint for tables and random choices; it is never 0.
func (f Fingerprint) Key() uint64 { return max(1, binary.BigEndian.Uint64(f[:])) }

// String is the fingerprint in hex, as logs and operators' commands show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

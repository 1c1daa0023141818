package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint tells a request from all others that ask for something else: two that a
// caller sends with the same content have the same one, whatever identity each attempt
// has. It is cut from a SHA-256 digest, so that nobody can make a request that is taken
// for another caller's.
type Fingerprint [16]byte

// Identity is what makes two requests the same.
type Identity struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Caller is the caller's API key; empty where none was needed.
	Caller string
	// Model and Adapter are what runs it; empty where the request asks for none.
	Model   string
	Adapter string
	Body    []byte
}

// NewFingerprint is the fingerprint of a request. Every part goes in with its length, so that none
// can take the place of another.
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

// DecodeFingerprint reads a fingerprint as nodes send it; ok is false where it is none.
func DecodeFingerprint(encoded []byte) (fingerprint Fingerprint, ok bool) {
	if len(encoded) != len(fingerprint) {
		return fingerprint, false
	}
	return Fingerprint(encoded), true
}

// ParseFingerprint is the fingerprint of a name as String gives it; ok is false where it is none.
func ParseFingerprint(name string) (fingerprint Fingerprint, ok bool) {
	decoded, err := hex.DecodeString(name)
	if err != nil {
		return fingerprint, false
	}
	return DecodeFingerprint(decoded)
}

// Key is a number that stands for the fingerprint where chance decides; it is not 0.
func (f Fingerprint) Key() uint64 { return max(1, binary.BigEndian.Uint64(f[:])) }

// String is the fingerprint in hex, as logs and operators' commands name it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

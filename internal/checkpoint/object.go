package checkpoint

import "github.com/spanlanding/spanlanding/internal/storepos"

// Object is one object of the store.
type Object struct {
	Name string
	Data []byte
	// Position is where the object was last written; zero if it does not exist yet.
	Position storepos.Position
}

// VersionsName is the name of the object that holds the VersionRecord.
const VersionsName = "versions"

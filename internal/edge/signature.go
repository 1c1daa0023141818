package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// viewDigest hashes a view's signature together with its server ID.
func viewDigest(serverID, signature string) uint64 {
	return xxhash.Sum64String(serverID + " " + signature)
}

// viewSignature returns a text that is equal for two views with the same content. The remaining
// load times are ignored.
func viewSignature(view dispatch.View) string {
	var text strings.Builder
	text.WriteString(strconv.FormatInt(view.Sequence, 10))
	for _, model := range slices.Sorted(maps.Keys(view.Held)) {
		text.WriteString(" " + model + ":" + strings.Join(view.Held[model], ","))
	}
	for _, name := range slices.Sorted(maps.Keys(view.Loading)) {
		text.WriteString(" +" + name)
	}
	text.WriteString(" memory:" + strings.Join(view.InMemory, ","))
	text.WriteString(" disk:" + strings.Join(view.OnDisk, ","))
	return text.String()
}

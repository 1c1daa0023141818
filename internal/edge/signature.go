package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// viewDigest is a number for a signature of a server's view.
func viewDigest(serverID, signature string) uint64 {
	return xxhash.Sum64String(serverID + " " + signature)
}

// viewSignature is a text that is the same for two views that say the same, but for
// the times left.
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

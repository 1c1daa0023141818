package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// signature is a text that is the same for two views that say the same, but for
// the times left.
func signature(view dispatch.View) string {
	var text strings.Builder
	text.WriteString(strconv.FormatInt(view.Sequence, 10))
	for _, model := range slices.Sorted(maps.Keys(view.Held)) {
		text.WriteString(" " + model + ":" + strings.Join(view.Held[model], ","))
	}
	for _, name := range slices.Sorted(maps.Keys(view.Loading)) {
		text.WriteString(" +" + name)
	}
	return text.String()
}

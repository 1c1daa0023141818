// Package defaults fills in options that were left at their zero value.
//
// It imports nothing.
package defaults

// Set gives the field the value where it has none.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Package restoretest plays drawn histories of a store that is restored from a copy, and checks what a
// starting node makes of them: it may receive lists of the store and of peers in any order, and the order
// must not matter. Only tests may import it.
package restoretest

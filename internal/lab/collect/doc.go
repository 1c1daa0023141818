// Package collect gathers evidence while a load runs: the books of all back
// ends, the decisions and declarations in the store, and the configuration
// that each node says it has in force.
//
// It may import check, fleet, objectstore's wire types, spec and the stand-ins'
// books.
package collect

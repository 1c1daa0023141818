// Package fleet holds the vocabulary that every other package shares: names,
// fences, members, back ends and the reports they give. It holds data and
// arithmetic on data only: no I/O, no goroutine, no clock.
//
// It may import the standard library and locality.
package fleet

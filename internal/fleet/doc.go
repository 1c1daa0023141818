// Package fleet defines the data types that every other package shares: names, fences, members,
// back ends and their reports. It contains data and computations on data only, without I/O,
// goroutines or a clock.
//
// It may import the standard library and locality.
package fleet

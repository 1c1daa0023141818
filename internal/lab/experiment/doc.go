// Package experiment runs a matrix of settings side by side and compares what
// came of them. A file names the runner, the values of each dimension and the
// seeds; each cell of the matrix is run once for each seed.
//
// It may import the standard library, goccy/go-yaml and golang.org/x/sync; the
// runners that it is given import what they measure.
package experiment

// Package experiment runs a matrix of settings in parallel and compares the
// results. A file names the runner, the values of each dimension and the seeds;
// each cell of the matrix is run once for each seed. The package also reads and
// writes results as CSV and computes bootstrap confidence intervals.
//
// It may import the standard library, goccy/go-yaml and golang.org/x/sync; the
// runners that it is given import the code that they measure.
package experiment

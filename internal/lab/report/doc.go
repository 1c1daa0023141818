// Package report turns a judged run into figures: for people on a terminal,
// as JSON for scripts, and as a page with plots.
//
// It may import history, check, experiment, fleet, the stand-ins' books,
// HdrHistogram and gonum/plot.
package report

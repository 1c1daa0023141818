// Package report presents results. Summary holds the results of a load test with
// the verdict on each rule, as text for terminals or JSON for scripts; Page is an
// HTML page with tables and plots of an experiment.
//
// It may import history, check, experiment, fleet, the stand-ins' books,
// HdrHistogram and gonum/plot.
package report

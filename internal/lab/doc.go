// Package lab is the root of the test and measurement tools. For load tests of a
// running system, load sends requests and history records them, inject causes
// faults at the stand-ins, collect reads the books that the back ends keep of what
// they did, check compares records and books with the rules, and scenario runs all
// of these together. For experiments, experiment runs a matrix of settings on a
// runner: batching, policy or requestpath. report presents the results of both.
//
// These packages must not import a core or a shell of the product, only wire types
// and vocabulary (fleet, platform, spec, backend) and the stand-ins. The exceptions
// are the runners policy and requestpath, which simulate the product's cores. The
// comment of each package lists what it may import.
package lab

// Package lab is the root of the tools that put load on a running system and
// judge what came of it: load sends requests and history records them, collect
// gathers the back ends' own books, check judges both against the rules,
// report shows figures, experiment runs matrices of runs.
//
// Nothing here may import a core or a shell of the product; only wire types and
// vocabulary (fleet, platform, spec, backend) and the stand-ins' books.
package lab

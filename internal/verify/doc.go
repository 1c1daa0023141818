// Package verify checks small models of the system by exhaustive exploration. It
// runs the real cores of leadership and of claims among a few processes and
// explores every order of messages, restarts and timeouts up to a bound. It
// consists of tests only.
//
// Its tests may import leadership, claim, allotment and fleet.
package verify

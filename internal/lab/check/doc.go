// Package check judges a load run by what the back ends' own books say. Each
// rule of the brief has one judge; a judge tells how often its rule was
// exercised, so that a rule that never came into play is not taken for kept.
//
// It may import history, fleet, the stand-ins' books and porcupine.
package check

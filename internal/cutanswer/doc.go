// Package cutanswer serves tests of HTTP clients: a server that ends its connections after any byte of an
// answer, and the forms in which one answer may be written.
//
// Only tests import it. It may import the standard library only.
package cutanswer

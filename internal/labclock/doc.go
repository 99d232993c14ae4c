// Package labclock gives the wall clock and the monotonic clock to code that must tolerate clock skew.
//
// Built without the tag "lab", it reads Go's clocks unchanged. Built with the tag, it applies the skew that an environment
// variable names: an offset to the wall clock and a rate to the monotonic clock. Tests use such builds to show that what
// must not depend on synchronized clocks doesn't. The package itself protects against nothing.
package labclock

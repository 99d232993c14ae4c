// Package labclock gives the wall clock and the monotonic clock to code that must tolerate clock skew.
//
// Built without the tag "lab", it reads Go's clocks unchanged. Built with the tag, it applies the skew in an environment
// variable: an offset to the wall clock and a rate to the monotonic clock. Tests use such builds to check that code which
// must tolerate unsynchronized clocks does. The package itself provides no protection against skew.
package labclock

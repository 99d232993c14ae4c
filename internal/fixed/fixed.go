// Package fixed makes property-based tests reproducible: rapid uses a fixed seed and writes no failure files. Only
// TestMain functions use it.
package fixed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// Seed is rapid's random seed in all tests.
const Seed = "20261201"

// Main sets rapid's flags, runs a package's tests and exits the process with their exit code. It panics if rapid lacks a
// flag.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Package fixed gives tests the same verdict every time: rapid draws from one seed, and leaves no files of failures behind. It is
// for TestMain alone.
package fixed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // whose flags are set
)

// Seed is that of all random draws of tests.
const Seed = "20261201"

// Main runs a package's tests, and ends the process.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

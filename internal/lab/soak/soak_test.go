package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"havenproxy/internal/lab/hostile"
)

var proxyBinary string

func TestMain(m *testing.M) {
	hostile.RunIfOrdered()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	proxyBinary = filepath.Join(dir, "havenproxy")
	if out, err := exec.Command("go", "build", "-o", proxyBinary, "havenproxy/cmd/havenproxy").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak guards against what no test of a single cause finds: requests that are lost, and processes that pass their memory limit or end by
// themselves, under hostile clients and signals in series. Its long form is havenlab soak.
func TestSoak(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, err := Run(t.Context(), Config{Binary: proxyBinary, Seed: seed, Length: 5 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v\n%v", r.Plan, r)
			for _, fault := range r.Faults() {
				t.Error(fault)
			}
		})
	}
}

// TestPlansComeFromTheirSeeds guards against runs that can't be repeated.
func TestPlansComeFromTheirSeeds(t *testing.T) {
	for seed := range uint64(50) {
		a, b := Draw(seed, time.Minute), Draw(seed, time.Minute)
		if a.String() != b.String() {
			t.Fatalf("seed %d: %v and %v", seed, a, b)
		}
	}
}

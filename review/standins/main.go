// Command standins plays the cases of the review: it starts the program under review with the command of the deploy file,
// before stand-ins for databases, catalogues and clients, and judges what these can see. It exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// environment is what a case gets.
type environment struct {
	root    string // of the repository
	folder  string // temporary, for the files of the processes
	trouble bool   // play the disruption
	record  *record
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// held-up-crowd, replaced-across and slow-reader are the cases 1 to 3; what the others show stands in the report.
var cases = map[string]func(*environment) (broken bool, err error){
	"held-up-crowd":         heldUpCrowd,
	"slow-reader":           slowReader,
	"replaced-across":       replacedAcrossGroups,
	"drain-then-deregister": drainThenDeregister,
	"restart-amid-reloads":  restartAmidReloads,
	"drain-only":            func(e *environment) (bool, error) { return consulDrain(e, "True", false) },
	"drain-beside-list":     func(e *environment) (bool, error) { return consulDrain(e, "False", false) },
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return exitNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temporary)
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	env := &environment{root: filepath.Dir(filepath.Dir(folder)), folder: temporary, trouble: os.Getenv("TROUBLE") != "0", record: rec}
	broken, err := cases[os.Args[1]](env)
	if log, readErr := os.ReadFile(filepath.Join(temporary, "proxy.log")); readErr == nil {
		rec.note("log of the proxy:\n%s", log)
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

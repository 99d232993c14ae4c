package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// rig is what a case works with.
type rig struct {
	*recorder
	root    string // of the repository
	dir     string // temporary
	trouble bool   // false = the same without the disruption
	proxies []*proxy
}

// errBroken is returned by a case whose rule was broken.
type errBroken string

func (e errBroken) Error() string { return string(e) }

var cases = map[string]func(*rig) error{}

// maxRun bounds a whole case.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*rig) error, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	root, _ := filepath.Abs(filepath.Join(folder, "..", ".."))
	r := &rig{recorder: record, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- play(r) }()
	select {
	case err = <-result:
	case s := <-stopped:
		err = fmt.Errorf("the case was ended by %v", s)
	case <-time.After(maxRun):
		err = fmt.Errorf("the case took more than %v", maxRun)
	}
	for _, p := range r.proxies {
		p.kill()
	}
	if broken, ok := err.(errBroken); ok {
		r.sayf("broken: %s", broken)
		return exitBroken
	}
	if err != nil {
		r.sayf("could not run: %v", err)
		return exitFailed
	}
	r.sayf("held")
	return exitHeld
}

// group starts the databases of group 0, the first of them the primary, and a discovery that lists them.
func (r *rig) group(members int, work time.Duration) ([]*database, *discovery, error) {
	var databases []*database
	var instances []instance
	for i := range members {
		db, err := startDatabase(fmt.Sprintf("db%d", i), i == 0, work, r.recorder)
		if err != nil {
			return nil, nil, err
		}
		databases = append(databases, db)
		instances = append(instances, instance{ID: db.name, Address: db.address, Zone: "merkez-ofis", Kind: "standart-3c", Lifecycle: "in_service", Weight: 1})
	}
	d, err := startDiscovery(instances)
	return databases, d, err
}

// startProxy starts a proxy and has it ended with the case.
func (r *rig) startProxy(p *proxy) error {
	r.proxies = append(r.proxies, p)
	if err := p.start(r.root); err != nil {
		return err
	}
	return nil
}

package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/load"
	"havenproxy/internal/lab/standin"
)

// until waits for something that the real program does; patience only ends a test that hangs.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// yardClasses are the lab's classes as its load has them.
func yardClasses() (out []load.Class) {
	for i, k := range launch.Classes() {
		out = append(out, load.Class{Class: k.Class, Share: launch.Shares()[i]})
	}
	return out
}

// The real program with Consul as its only catalogue. The first agent is none, the second lies: half of its instances vanish, its
// index goes back, it has no leader, cuts its answers, and puts a database into maintenance. Nobody is left without an answer,
// nobody is dropped for what the catalogue lacks, and the maintenance is a drain.
func TestConsulAsTheOnlyCatalogue(t *testing.T) {
	cfg := fleet.Config{Seed: 1, Groups: 2, Members: 3, Zones: launch.Zones(), Classes: launch.Classes()}
	w, err := standin.New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	c, err := standin.NewConsul(w, "a-secret-token")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	dir := t.TempDir()
	token, file := filepath.Join(dir, "token"), filepath.Join(dir, "operator.star")
	os.WriteFile(token, []byte("a-secret-token\n"), 0o600)
	os.WriteFile(file, fmt.Appendf(nil, "consul(agents = ['http://127.0.0.1:1', 'http://%s'], services = {'db': 0}, token_file = '%s', alone = True, wait = '2s')\nconsole()\n", c.Address, token), 0o600)
	var log output
	p, err := launch.Start(context.Background(), w, cfg, launch.Options{Binary: binary, Operator: file, Log: &log})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop(8 * time.Second)
	until(t, "all six databases are listed by Consul alone", func() bool { return strings.Count(log.String(), "msg=\"database listed\"") == 6 })

	classes := yardClasses()
	told := make(chan struct{})
	go func() {
		defer close(told)
		for _, change := range []func(*standin.Lies){
			func(l *standin.Lies) { l.Missing = map[int]bool{0: true, 1: true, 2: true, 3: true} },
			func(l *standin.Lies) { l.Down = true },
			func(l *standin.Lies) { l.Down, l.Cut = false, true },
			func(l *standin.Lies) { l.Cut, l.Missing = false, nil },
			func(l *standin.Lies) { l.Health = map[int]string{1: "critical", 4: "maintenance"} },
		} {
			time.Sleep(400 * time.Millisecond)
			c.Tell(change)
		}
		drain := time.Now()
		c.Reindex(3)
		// When the last request went to the one in maintenance: told, and no verdict, as it hangs on the machine.
		last, worked := drain, time.Duration(-1)
		for time.Since(drain) < 1900*time.Millisecond {
			w.With(func(_ time.Duration, f *fleet.Fleet) {
				if now := f.Worked(4); now != worked {
					if worked >= 0 {
						last = time.Now()
					}
					worked = now
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("the last request went to the drained one %v behind the news", last.Sub(drain).Round(time.Millisecond))
	}()
	r, err := load.Run(context.Background(), load.Config{Address: p.Address, Seed: 1, Classes: classes, Groups: 2, Rate: func(time.Duration) float64 { return 120 }, For: 4 * time.Second})
	<-told
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range r.Classes {
		if n := k.Outcomes[load.Names[load.Silent]]; n > 0 {
			t.Errorf("%s: %d requests without an answer", k.Name, n)
		}
	}
	if len(r.Faults) > 0 {
		t.Errorf("%v", r.Faults)
	}
	until(t, "the maintenance is a drain", func() bool {
		return strings.Contains(log.String(), "name=db-4 address="+w.Address(4)+" from=ready to=draining")
	})
	text := log.String()
	if strings.Contains(text, "to=gone") || strings.Contains(text, "state=gone") {
		t.Errorf("somebody was dropped:\n%s", text)
	}
	if strings.Contains(text, "a-secret-token") {
		t.Error("the token stands in the log")
	}
	holds(t, text, "No cluster leader", "watching Consul")
}

// SIGHUP moves the program from the platform's list to Consul and back, under load: nobody is left without an answer, and at no
// time is it without a list. A file that can't be used changes nothing.
func TestFromOneCatalogueToAnother(t *testing.T) {
	cfg := fleet.Config{Seed: 1, Groups: 1, Members: 3, Zones: launch.Zones(), Classes: launch.Classes()}
	w, err := standin.New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	c, err := standin.NewConsul(w, "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	dir := t.TempDir()
	file, traced := filepath.Join(dir, "operator.star"), filepath.Join(dir, "traced")
	say := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	say("")
	var log output
	p, err := launch.Start(context.Background(), w, cfg, launch.Options{Binary: binary, Operator: file, Log: &log})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop(8 * time.Second)
	until(t, "the platform's list", func() bool { return strings.Count(log.String(), "msg=\"database listed\"") == 3 })
	classes := yardClasses()
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		reload := func(text, word string) {
			n := strings.Count(log.String(), word)
			say(text)
			p.Reload()
			until(t, word, func() bool { return strings.Count(log.String(), word) > n })
			time.Sleep(300 * time.Millisecond)
		}
		own := fmt.Sprintf("consul(agents = ['http://%s'], services = {'db': 0}, alone = True)\n", c.Address)
		reload(own, "watching Consul")
		reload(own+"consul()\n", "can't reload")
		reload(fmt.Sprintf("trace(file = '%s')\nconsul(agents = ['http://%s'], services = {'db': 0}, token_file = '/no/such/token')\n", traced, c.Address), "can't reload")
		reload(own+"members(lost = '2s')\n", "msg=reloaded")
		reload("", "msg=reloaded")
		reload(own, "watching Consul")
	}()
	r, err := load.Run(context.Background(), load.Config{Address: p.Address, Seed: 1, Classes: classes, Groups: 1, Rate: func(time.Duration) float64 { return 60 }, For: 3 * time.Second})
	<-moved
	if err != nil {
		t.Fatal(err)
	}
	served := 0
	for _, k := range r.Classes {
		if n := k.Outcomes[load.Names[load.Silent]]; n > 0 {
			t.Errorf("%s: %d requests without an answer", k.Name, n)
		}
		served += k.Outcomes[load.Names[load.InAim]] + k.Outcomes[load.Names[load.Late]]
	}
	if served == 0 || len(r.Faults) > 0 {
		t.Errorf("%d served, %v", served, r.Faults)
	}
	until(t, "Consul has been asked", func() bool { return c.Calls() > 0 })
	if n := strings.Count(log.String(), "msg=\"database listed\""); n != 3 {
		t.Errorf("%d databases were listed: the other catalogue's names made new ones", n)
	}
	if _, err := os.Stat(traced); err == nil {
		t.Error("a file that can't be used began a trace")
	}
}

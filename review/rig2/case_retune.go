package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["retune-restart"] = playRetuneRestart }

const (
	longestLeft  = 1200 * time.Millisecond // the longest deadline once kayit-yaz is dropped
	killBehind   = 700 * time.Millisecond  // SIGKILL comes so long behind the longest deadline after SIGTERM, at the soonest
	queryStarts  = 300 * time.Millisecond  // after SIGTERM: the first byte of the query
	queryEnds    = 1100 * time.Millisecond // and its last one
	beforeReload = time.Second
)

// dropClass removes a class of the settings, as the operators may at SIGHUP.
func dropClass(settings map[string]any, name string) {
	domain := settings["domain"].(map[string]any)
	freshness, ages := domain["freshness"].([]string), domain["max_age"].([]float64)
	var classes []any
	var keptFreshness []string
	var keptAges []float64
	for i, class := range settings["request_classes"].([]any) {
		if class.(map[string]any)["name"] != name {
			classes = append(classes, class)
			keptFreshness, keptAges = append(keptFreshness, freshness[i]), append(keptAges, ages[i])
		}
	}
	settings["request_classes"], domain["freshness"], domain["max_age"] = classes, keptFreshness, keptAges
}

// playRetuneRestart drops the class with the longest deadline, and restarts the proxy as planned while the databases
// hang.
func playRetuneRestart(r *rig) error {
	databases, d, err := r.group(3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	settings := kereste(1)
	p, err := newProxy("n0", r.dir, d, settings, r.recorder)
	if err != nil {
		return err
	}
	if err := r.startProxy(p); err != nil {
		return err
	}
	time.Sleep(beforeReload)
	if r.trouble {
		dropClass(settings, "kayit-yaz")
		if err := p.writeConfig(); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(5 * time.Second)
	probe, err := dialClient(p.listen)
	if err != nil {
		return err
	}
	if a, err := probe.ask(readText(newID(), "stok-bakis", 1200)); err != nil || a.code != "" {
		return errors.New("a read before the restart was not served")
	}
	probe.conn.Close()
	release := make(chan struct{})
	defer close(release)
	for _, db := range databases {
		db.setHandle(func(s *statement) bool {
			<-release
			return true
		})
	}
	r.logf("the databases hang")
	c, err := dialClient(p.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	longest := longestLeft
	if !r.trouble {
		longest = 3 * time.Second
	}
	start := time.Now()
	p.signal(syscall.SIGTERM)
	id := newID()
	query := queryMessage(readText(id, "stok-bakis", int(longestLeft/time.Millisecond)))
	time.Sleep(time.Until(start.Add(queryStarts)))
	r.logf("client begins to write id=%s", id)
	for i := range query {
		time.Sleep(time.Until(start.Add(queryStarts + (queryEnds-queryStarts)*time.Duration(i)/time.Duration(len(query)-1))))
		if _, err := c.conn.Write(query[i : i+1]); err != nil {
			return err
		}
	}
	r.logf("client has written the last byte, %v after SIGTERM", time.Since(start).Round(time.Millisecond))
	time.AfterFunc(time.Until(start.Add(longest+killBehind+socketsSlack)), func() {
		if !p.ended() {
			p.signal(syscall.SIGKILL)
		}
	})
	c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	a, err := readAnswer(c.reader)
	r.sayf("client id=%s: code %q, error %v, %v after SIGTERM", id, a.code, err, time.Since(start).Round(time.Millisecond))
	if err != nil {
		return errBroken("SIGKILL found the request unanswered")
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["consul-silent"] = playConsulSilent }

const (
	consulWait       = 30 * time.Second // of a blocking query, the default of consul()
	consulWaitJitter = consulWait / 16  // that Consul's servers add to it
	silenceGrace     = 2 * time.Second  // behind a long poll's wait, at which what it misses counts as told
)

// playConsulSilent has the open blocking query fall silent, and puts a database into maintenance right after. New
// calls are answered at once.
func playConsulSilent(r *rig) error {
	s, err := r.startConsulScene(", alone = True")
	if err != nil {
		return err
	}
	opened, ok := s.agent.lastCall()
	if !ok {
		return errors.New("the proxy has no blocking query open")
	}
	if r.trouble {
		s.agent.silence()
	}
	time.Sleep(time.Second)
	s.agent.maintain("db2")
	counted := opened.Add(consulWait + consulWaitJitter + silenceGrace)
	if !r.trouble { // the agent answers the open call: the proxy is told at once
		counted = time.Now()
	}
	time.Sleep(time.Until(opened.Add(consulWait + consulWaitJitter + 14*time.Second)))
	s.stop()
	if told, ok := s.agent.told("db2"); ok {
		r.sayf("the proxy asked anew and was told %v after the blocking query began", told.Sub(opened).Round(100*time.Millisecond))
	}
	late, last := 0, time.Duration(0)
	for _, statement := range s.databases[2].statements() {
		if since := statement.at.Sub(counted); since > drainGrace+socketsSlack+networkSlack {
			late, last = late+1, since
			r.logf("db2 got id=%s %v after the drain counted as told", statement.hints["id"], since.Round(time.Millisecond))
		}
	}
	r.sayf("db2 got %d statements in all, %d of them later than 2 s after its drain counted as told, the last after %v",
		len(s.databases[2].statements()), late, last.Round(time.Millisecond))
	if late > 0 {
		return errBroken(fmt.Sprintf("%d statements went to db2 later than 2 s after its drain counted as told", late))
	}
	return nil
}

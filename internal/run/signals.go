package run

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// signals receives the signals to the process, each kind on a channel of its own: a stop is neither lost behind other signals nor does it
// wait until a configuration has been read. Of the signals of one kind that arrive while one of them is handled, one is kept.
type signals struct{ stop, reload, counters chan os.Signal }

func notifySignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), counters: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	return s
}

// close ends the delivery of signals, and the goroutines that handle them.
func (s *signals) close() {
	for _, kind := range []chan os.Signal{s.stop, s.reload, s.counters} {
		signal.Stop(kind)
		close(kind)
	}
}

// handleSignals processes signals until they are closed. path is the configuration file, file the operator's file.
func (p *proxy) handleSignals(s *signals, path, file string) {
	go func() {
		for range s.reload {
			p.reload(path, file)
		}
	}()
	go func() {
		for range s.counters {
			p.loop.Post(p.logCounters)
		}
	}()
	go func() {
		for range s.stop {
			p.loop.Post(p.stop)
		}
	}()
}

func (p *proxy) logCounters() {
	slog.Info("counters", "pending", p.engine.Pending(), "counters", &p.engine.Counters, "refusals", p.engine.Refusals(),
		"closes", p.server.Closes(), "delays", &p.engine.Delays, "memory", p.memory.use(), "holds", p.server.Holdings())
}

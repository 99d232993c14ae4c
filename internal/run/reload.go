package run

import (
	"log/slog"
	"os"
	"syscall"
	"time"

	"havenproxy/internal/operator"
	"havenproxy/internal/wire/settings"
)

// Reading the files anew on SIGHUP.

// readPause is the pause between parts of a long configuration, in which the loop has its turn: a proxy may have a small share of one core.
const readPause = 200 * time.Microsecond

// signals hands signals to the loop; path is that of the configuration, file the operator's.
func (p *proxy) signals(caught <-chan os.Signal, path, file string) {
	for s := range caught {
		switch s {
		case syscall.SIGUSR1:
			p.loop.Post(func() {
				slog.Info("counters", "pending", p.front.Pending(), "counters", &p.front.Counters, "refusals", p.front.Refusals(), "delays", &p.front.Delays)
			})
		case syscall.SIGHUP:
			p.reload(path, file)
		default:
			p.loop.Post(p.stop)
		}
	}
}

// reload reads both files again. It asks the discovery that the configuration names now, and puts the operator's file
// into effect; all else stays as it was at the start: requests, pins and connections are kept. If either can't be used,
// nothing is changed.
func (p *proxy) reload(path, file string) {
	fail := func(err error) {
		slog.Error("can't reload", "error", err)
		p.loop.Post(func() { p.front.Counters.ConfigLoadErrors++ })
	}
	begun := p.clock.Now()
	text, document, err := readDocument(path, func() { time.Sleep(readPause) })
	if err == nil {
		err = settings.Whole(p.text, document.Rest)
	}
	if err != nil {
		fail(err)
		return
	}
	cfg, own, err := readAll(document, file)
	if err != nil {
		fail(err)
		return
	}
	effect, err := p.ready(own)
	if err != nil {
		fail(err)
		return
	}
	p.loop.Post(func() {
		slog.Info("reloaded", "discovery", cfg.Discovery, "classes", len(cfg.Settings.Config.Classes), "bytes", text, "took", p.clock.Now()-begun)
		p.front.Counters.ConfigLoads++
		if p.tier == nil {
			p.front.Reload(cfg.Settings.Config)
		} else {
			slog.Info("classes, levels, handover and routing stay as the tier's policy has them", "number", p.tier.PolicyNumber())
		}
		for _, c := range cfg.Settings.Config.Classes { // never less: what is open keeps its time
			p.patience = min(max(p.patience, c.Limit), longestPatience)
		}
		p.discovery.SetAddress(cfg.Discovery)
		effect()
	})
}

// ready reads all that an operator's file names, and gives what puts it into effect, on the loop. Nothing is changed where any of it
// can't be used: the trace's file, the one thing that is made here, comes last.
func (p *proxy) ready(own *operator.File) (effect func(), err error) {
	watched, watch, err := p.watching(own)
	if err != nil {
		return nil, err
	}
	trace, err := p.tracing(own.Trace)
	if err != nil {
		return nil, err
	}
	p.watched = watched
	return func() {
		p.apply(own)
		trace()
		watch()
	}, nil
}

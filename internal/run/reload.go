package run

import (
	"log/slog"
	"time"

	"havenproxy/internal/operator"
	"havenproxy/internal/wire/settings"
)

// readPause is the pause between parts of a long configuration, which lets the loop run: the proxy may have only a small share of one core.
const readPause = 200 * time.Microsecond

// reload reads both files again after SIGHUP. It switches to the configured discovery address and applies those settings of both files that
// may change at run time, except the ones that a tier's policy determines. Requests, pins and connections are kept. If either file is
// invalid, nothing changes.
func (p *proxy) reload(path, file string) {
	fail := func(err error) {
		slog.Error("can't reload", "error", err)
		p.loop.Post(func() { p.engine.Counters.ConfigLoadErrors++ })
	}
	startedAt := p.clock.Now()
	size, document, err := readDocument(path, func() { time.Sleep(readPause) })
	if err == nil {
		err = settings.CheckReplacement(p.initialConfig, document.ConfigJSON)
	}
	if err != nil {
		fail(err)
		return
	}
	cfg, operatorFile, err := parseFiles(document, file)
	if err != nil {
		fail(err)
		return
	}
	effect, err := p.prepare(operatorFile)
	if err != nil {
		fail(err)
		return
	}
	p.loop.Post(func() {
		slog.Info("reloaded", "discovery", cfg.Discovery, "classes", len(cfg.Settings.Config.Classes), "bytes", size, "took", p.clock.Now()-startedAt)
		p.engine.Counters.ConfigLoads++
		if p.tier == nil {
			p.engine.Reload(cfg.Settings.Config)
		} else {
			slog.Info("classes, levels, handover and routing remain those of the tier's policy", "number", p.tier.PolicyNumber())
		}
		for _, c := range cfg.Settings.Config.Classes { // only ever raised: open requests keep their deadlines
			p.maxRequestTime = min(max(p.maxRequestTime, c.Limit), maxRequestTimeLimit)
		}
		p.discovery.SetAddress(cfg.Discovery)
		effect()
	})
}

// prepare reads everything that an operator's file refers to, and returns a function that puts it into effect and must be called on the
// loop. If any of it is invalid, nothing changes. The trace file is created last, because that is the only side effect.
func (p *proxy) prepare(file *operator.File) (effect func(), err error) {
	consulConfig, applyConsul, err := p.prepareConsul(file)
	if err != nil {
		return nil, err
	}
	applyTrace, err := p.prepareTrace(file.Trace)
	if err != nil {
		return nil, err
	}
	p.consulConfig = consulConfig
	return func() {
		p.applyOperatorFile(file)
		applyTrace()
		applyConsul()
	}, nil
}

package run

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"havenproxy/internal/operator"
	"havenproxy/internal/trace"
)

// prepareTrace opens the trace file for client requests, if one is configured, and returns a function that puts it into effect on the loop. A
// trace whose settings have not changed continues in its file.
func (p *proxy) prepareTrace(settings *operator.Trace) (func(), error) {
	var cfg trace.Config
	if settings != nil {
		cfg = trace.Config{File: settings.File, Sample: settings.SampleRate, MaxBytes: settings.MaxBytes}
	}
	if p.traceFile != "" {
		cfg.File = p.traceFile
	}
	if cfg.File == "" {
		p.traceConfig = nil
		return func() { go p.closeTrace(p.engine.SetTrace(nil)) }, nil
	}
	if settings != nil && settings.SaltFile != "" {
		salt, err := os.ReadFile(settings.SaltFile)
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		if len(salt) < minSaltLen {
			return nil, fmt.Errorf("trace: %s holds %d bytes, at least %d were expected", settings.SaltFile, len(salt), minSaltLen)
		}
		cfg.Salt = salt
	}
	if p.traceConfig != nil && reflect.DeepEqual(*p.traceConfig, cfg) {
		return func() {}, nil
	}
	var classes []string
	for _, c := range p.engine.Classes() {
		classes = append(classes, c.Name)
	}
	writer, err := trace.Create(cfg, classes, p.clock.Unix())
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	p.traceConfig = &cfg
	slog.Info("recording client requests", "file", cfg.File, "sample", writer.Sample(), "most_bytes", writer.MaxBytes())
	return func() { go p.closeTrace(p.engine.SetTrace(writer)) }, nil
}

// closeTrace closes a trace. It waits for the disk, so it must not run on the loop.
func (p *proxy) closeTrace(w *trace.Writer) {
	if w == nil {
		return
	}
	err := w.Close()
	slog.Info("trace closed", "records", w.Recorded, "dropped", w.Dropped, "full", w.Full(), "error", err)
}

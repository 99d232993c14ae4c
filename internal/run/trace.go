package run

import (
	"fmt"
	"log/slog"
	"os"
	"reflect"

	"havenproxy/internal/operator"
	"havenproxy/internal/trace"
)

// tracing opens the file in which what clients ask is to be kept, if any; the function that it gives puts that into effect, on
// the loop. A file that goes on as it was goes on.
func (p *proxy) tracing(t *operator.Trace) (func(), error) {
	var cfg trace.Config
	if t != nil {
		cfg = trace.Config{File: t.File, Sample: t.SampleRate, MaxBytes: t.MaxBytes}
	}
	if p.traceFile != "" {
		cfg.File = p.traceFile
	}
	if cfg.File == "" {
		p.traced = nil
		return func() { go p.untrace(p.front.SetTrace(nil)) }, nil
	}
	if t != nil && t.SaltFile != "" {
		salt, err := os.ReadFile(t.SaltFile)
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		if len(salt) < leastSalt {
			return nil, fmt.Errorf("trace: %s holds %d bytes, at least %d were expected", t.SaltFile, len(salt), leastSalt)
		}
		cfg.Salt = salt
	}
	if p.traced != nil && reflect.DeepEqual(*p.traced, cfg) {
		return func() {}, nil
	}
	var classes []string
	for _, c := range p.front.Classes() {
		classes = append(classes, c.Name)
	}
	w, err := trace.Create(cfg, classes, p.clock.Unix())
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	p.traced = &cfg
	slog.Info("what clients ask is kept", "file", cfg.File, "sample", w.Sample(), "most_bytes", w.MaxBytes())
	return func() { go p.untrace(p.front.SetTrace(w)) }, nil
}

// untrace ends a trace; it waits for the disk, so it has no place on the loop.
func (p *proxy) untrace(w *trace.Writer) {
	if w == nil {
		return
	}
	err := w.Close()
	slog.Info("trace closed", "records", w.Recorded, "dropped", w.Dropped, "full", w.Full(), "error", err)
}

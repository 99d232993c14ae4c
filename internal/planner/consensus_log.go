package planner

import (
	"fmt"
	"log/slog"
)

// quiet lets the consensus say only what goes wrong.
type quiet struct{}

func (quiet) Debug(...any) {}

func (quiet) Debugf(string, ...any) {}

func (quiet) Info(...any) {}

func (quiet) Infof(string, ...any) {}

func (quiet) Warning(v ...any) { slog.Debug("consensus: " + fmt.Sprint(v...)) }

func (quiet) Warningf(format string, v ...any) { slog.Debug("consensus: " + fmt.Sprintf(format, v...)) }

func (quiet) Error(v ...any) { slog.Error("consensus: " + fmt.Sprint(v...)) }

func (quiet) Errorf(format string, v ...any) { slog.Error("consensus: " + fmt.Sprintf(format, v...)) }

func (quiet) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

func (quiet) Panic(v ...any) { panic(consensusPanic(fmt.Sprint(v...))) }

func (quiet) Panicf(format string, v ...any) { panic(consensusPanic(fmt.Sprintf(format, v...))) }

// consensusPanic is what the consensus can't go on with.
type consensusPanic string

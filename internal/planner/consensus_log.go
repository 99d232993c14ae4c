package planner

import (
	"fmt"
	"log/slog"
)

// raftLog is the logger of the raft library. It drops all but warnings and errors.
type raftLog struct{}

func (raftLog) Debug(...any) {}

func (raftLog) Debugf(string, ...any) {}

func (raftLog) Info(...any) {}

func (raftLog) Infof(string, ...any) {}

func (raftLog) Warning(v ...any) { slog.Debug("consensus: " + fmt.Sprint(v...)) }

func (raftLog) Warningf(text string, v ...any) { slog.Debug("consensus: " + fmt.Sprintf(text, v...)) }

func (raftLog) Error(v ...any) { slog.Error("consensus: " + fmt.Sprint(v...)) }

func (raftLog) Errorf(text string, v ...any) { slog.Error("consensus: " + fmt.Sprintf(text, v...)) }

func (raftLog) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (raftLog) Fatalf(text string, v ...any) { panic(fmt.Sprintf(text, v...)) }

func (raftLog) Panic(v ...any) { panic(consensusPanic(fmt.Sprint(v...))) }

func (raftLog) Panicf(text string, v ...any) { panic(consensusPanic(fmt.Sprintf(text, v...))) }

// consensusPanic is the value with which raftLog panics where the raft library can't continue. Planner.Run recovers it.
type consensusPanic string

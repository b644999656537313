package consensus

import (
	"context"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// raftLogger implements raft.Logger. It logs raft's warnings and lower levels as debug. It logs raft's errors as
// warnings, because the protocol recovers from them. Fatal and Panic panic, because raft calls them when one of its
// invariants is broken.
type raftLogger struct{ log *slog.Logger }

// DiscardLogger is a raft.Logger that logs nothing. Its Fatal and Panic methods panic.
var DiscardLogger raft.Logger = raftLogger{slog.New(slog.DiscardHandler)}

// Debug implements raft.Logger.
func (l raftLogger) Debug(v ...any) { l.print(slog.LevelDebug, v) }

// Debugf implements raft.Logger.
func (l raftLogger) Debugf(format string, v ...any) { l.printf(slog.LevelDebug, format, v) }

// Info implements raft.Logger.
func (l raftLogger) Info(v ...any) { l.print(slog.LevelDebug, v) }

// Infof implements raft.Logger.
func (l raftLogger) Infof(format string, v ...any) { l.printf(slog.LevelDebug, format, v) }

// Warning implements raft.Logger.
func (l raftLogger) Warning(v ...any) { l.print(slog.LevelDebug, v) }

// Warningf implements raft.Logger.
func (l raftLogger) Warningf(format string, v ...any) { l.printf(slog.LevelDebug, format, v) }

// Error implements raft.Logger.
func (l raftLogger) Error(v ...any) { l.print(slog.LevelWarn, v) }

// Errorf implements raft.Logger.
func (l raftLogger) Errorf(format string, v ...any) { l.printf(slog.LevelWarn, format, v) }

// Fatal implements raft.Logger.
func (l raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf implements raft.Logger.
func (l raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic implements raft.Logger.
func (l raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf implements raft.Logger.
func (l raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

func (l raftLogger) print(level slog.Level, v []any) {
	if l.log.Enabled(context.Background(), level) {
		l.log.Log(context.Background(), level, "fleet: raft", "text", fmt.Sprint(v...))
	}
}

func (l raftLogger) printf(level slog.Level, format string, v []any) {
	if l.log.Enabled(context.Background(), level) {
		l.log.Log(context.Background(), level, "fleet: raft", "text", fmt.Sprintf(format, v...))
	}
}

// Command havenproxy is the proxy: it routes reads and writes of its clients to replicated databases.
package main

import (
	"log/slog"
	"os"

	"havenproxy/internal/run"
)

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run.Main(); err != nil {
		slog.Error("can't run", "error", err)
		os.Exit(1)
	}
}

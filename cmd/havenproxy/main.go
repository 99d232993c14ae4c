// Command havenproxy is the proxy: it routes reads and writes of its clients to replicated databases.
package main

import (
	"os"

	"havenproxy/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

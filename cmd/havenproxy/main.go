// Command havenproxy is a proxy that routes its clients' reads and writes to replicated databases.
package main

import (
	"os"

	"havenproxy/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

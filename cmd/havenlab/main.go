// Command havenlab is the project's test bench: simulated databases, load generation and experiments.
package main

import (
	"os"

	"havenproxy/internal/lab/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command havenplan is the planner of a tier of proxies. `havenproxy plan` starts it.
package main

import (
	"os"

	"havenproxy/internal/cli/plan"
)

func main() { os.Exit(plan.Main(os.Args[1:], os.Stdout, os.Stderr)) }

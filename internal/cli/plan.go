package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// planCommand returns a command that replaces the process with the planner's program, which is installed beside this one: consensus and its
// log would take 6 MB of each proxy's memory.
func planCommand() *cobra.Command {
	return &cobra.Command{
		Use:                "plan",
		Short:              "Keep a tier's policy: run one of its planners (1, 3 or 5) in the foreground until SIGTERM",
		Long:               "plan executes the program havenplan, which is installed beside havenproxy; havenproxy plan --help lists its flags.",
		DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), "havenplan")
			return fmt.Errorf("%s: %w (it is built and installed beside havenproxy)", path, syscall.Exec(path, append([]string{"havenplan"}, args...), os.Environ()))
		},
	}
}

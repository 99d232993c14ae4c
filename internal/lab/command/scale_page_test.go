package command

import (
	"os"
	"strings"
	"testing"

	"github.com/spf13/pflag"
)

// The operators' page names each flag of `havenlab scale` with its default, and no other.
func TestScalePageNamesTheFlags(t *testing.T) {
	text, err := os.ReadFile("../../../docs/operators/scale.md")
	if err != nil {
		t.Fatal(err)
	}
	defaults := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|") // the row's own bars stand at both ends
		if len(cells) != 6 {
			continue
		}
		if name, ok := strings.CutPrefix(strings.TrimSpace(cells[1]), "`--"); ok {
			defaults[strings.TrimSuffix(name, "`")] = strings.Trim(cells[3], "` ")
		}
	}
	defaults["memory"] = scaleCommand().Flags().Lookup("memory").DefValue // half of the machine's
	scaleCommand().Flags().VisitAll(func(f *pflag.Flag) {
		want := strings.Trim(f.DefValue, "[]")
		if got, named := defaults[f.Name]; !named || got != want {
			t.Errorf("--%s: the page has default %q (named: %v), it is %q", f.Name, got, named, want)
		}
		delete(defaults, f.Name)
	})
	for name := range defaults {
		t.Errorf("the page names --%s, which there is not", name)
	}
}

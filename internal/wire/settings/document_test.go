package settings

import (
	"fmt"
	"strings"
	"testing"

	"havenproxy/internal/wire/discovery"
)

// longKnown is a configuration's text with so many databases as last known.
func longKnown(databases int) []byte {
	entries := make([]string, databases)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"s%d","hostPort":"127.0.0.1:1","cell":%d,"lifecycle":"in_service","weight":1}`, i, i/4)
	}
	return fmt.Appendf(nil, `{"name":"n","known":{"generation":3,"reset":true,"instances":[%s]},"listen":"a:1"}`, strings.Join(entries, ","))
}

// Guards against incident 38: a reload parsed the list of thousands of databases four times in one go. It is read once, in steps, and what is
// kept of the text does not grow with it.
func TestALongConfigurationIsReadInSteps(t *testing.T) {
	const databases = 3200
	pauses := 0
	d, err := ParseDocument(longKnown(databases), func() { pauses++ })
	if err != nil {
		t.Fatal(err)
	}
	if pauses < databases/discovery.EntriesPerPause {
		t.Errorf("%d pauses for %d databases", pauses, databases)
	}
	if len(d.KnownList.Instances) != databases || d.KnownList.Generation != 3 {
		t.Errorf("%d databases are known, of generation %d", len(d.KnownList.Instances), d.KnownList.Generation)
	}
	if got := string(d.Rest); got != `{"listen":"a:1","name":"n"}` {
		t.Errorf("the rest is %s", got)
	}
}

// A configuration that is not whole, or whose list is unusable, is told in one line.
func TestUnusableDocuments(t *testing.T) {
	whole := string(longKnown(3))
	for what, text := range map[string]string{
		"empty":              "",
		"no object":          "[]",
		"cut short":          whole[:len(whole)-1],
		"cut in the list":    whole[:len(whole)/2],
		"text behind it":     whole + "x",
		"another lifecycle":  strings.Replace(whole, "in_service", "asleep", 1),
		"a value that isn't": `{"name":nil}`,
	} {
		_, err := ParseDocument([]byte(text), func() {})
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "configuration: ") {
			t.Errorf("%s: %v", what, err)
		}
	}
	if d, err := ParseDocument([]byte(`{"name":"n"}`), func() {}); err != nil || d.KnownList.Generation != discovery.NoGeneration {
		t.Errorf("without a list: generation %d, %v", d.KnownList.Generation, err)
	}
}

package settings

import (
	"fmt"
	"strings"
	"testing"

	"havenproxy/internal/wire/discovery"
)

// longDocument returns a configuration whose last known list has the given number of databases.
func longDocument(databases int) []byte {
	entries := make([]string, databases)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"instanceId":"s%d","hostPort":"127.0.0.1:1","cell":%d,"lifecycle":"in_service","weight":1}`, i, i/4)
	}
	return fmt.Appendf(nil, `{"name":"n","known":{"generation":3,"reset":true,"instances":[%s]},"listen":"a:1"}`, strings.Join(entries, ","))
}

// Guards against incident 38: a reload parsed a list of thousands of databases four times without a pause. The list must be
// parsed once, in steps, and the text that is kept must not grow with it.
func TestALongConfigurationIsReadInSteps(t *testing.T) {
	const databases = 3200
	pauses := 0
	d, err := Split(longDocument(databases), func() { pauses++ })
	if err != nil {
		t.Fatal(err)
	}
	if pauses < databases/discovery.EntriesPerPause {
		t.Errorf("%d pauses for %d databases", pauses, databases)
	}
	if len(d.KnownDatabases.Instances) != databases || d.KnownDatabases.Generation != 3 {
		t.Errorf("%d databases are known, of generation %d", len(d.KnownDatabases.Instances), d.KnownDatabases.Generation)
	}
	if got := string(d.ConfigJSON); got != `{"listen":"a:1","name":"n"}` {
		t.Errorf("the configuration without the list is %s", got)
	}
}

// An incomplete configuration, or one with an invalid list, is reported in one line.
func TestInvalidDocuments(t *testing.T) {
	valid := string(longDocument(3))
	for name, text := range map[string]string{
		"empty":             "",
		"no object":         "[]",
		"cut short":         valid[:len(valid)-1],
		"cut in the list":   valid[:len(valid)/2],
		"trailing text":     valid + "x",
		"unknown lifecycle": strings.Replace(valid, "in_service", "asleep", 1),
		"invalid value":     `{"name":nil}`,
	} {
		_, err := Split([]byte(text), func() {})
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "configuration: ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if d, err := Split([]byte(`{"name":"n"}`), func() {}); err != nil || d.KnownDatabases.Generation != discovery.NoGeneration {
		t.Errorf("without a list: generation %d, %v", d.KnownDatabases.Generation, err)
	}
}

package operator

import (
	"os"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/levels"
	"havenproxy/logic"
)

var classes = []levels.Class{{Name: "stok-bakis", Worth: 3}, {Name: "kendi-siparis", Worth: 1}, {Name: "katalog", Worth: 1},
	{Name: "yukleme-kontrol", Worth: 3}, {Name: "kayit-yaz", Worth: 3, Heavy: true}}

func TestShippedFile(t *testing.T) {
	f, err := Read("../../deploy/operator.star", classes)
	if err != nil {
		t.Fatal(err)
	}
	l := f.Levels
	if !f.Console.Enabled || l == nil || len(l.Ladder) != 5 || l.Ladder[3].Rules[2].Admit != 0.8 || l.Ladder[4].Rules[1].Admit != 0 ||
		l.Ladder[4].Rules[2].ComeBack != 500*time.Millisecond || l.Dwell != 5*time.Second || l.Ladder[4].Rules[4].Admit != 1 {
		t.Errorf("%+v", f)
	}
}

func TestEmptyFileGivesDefaults(t *testing.T) {
	f, err := Parse("empty.star", []byte("# nothing\n"), classes)
	if err != nil || f.Levels != nil || f.Console.Enabled {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestUnitsPinsAndLoops(t *testing.T) {
	f, err := Parse("x.star", []byte(`
levels(dwell_ms = 2500, enter_after_s = 2)
for name, share in [("a", 0.5), ("b", 0.25)]:
    level(name, admit = {"katalog": share}, repeats = {"katalog": False})
pin("a", group = 2)
cap("b")
`), classes)
	if err != nil {
		t.Fatal(err)
	}
	l := f.Levels
	if l.Dwell != 2500*time.Millisecond || l.EnterAfter != 2*time.Second || len(l.Ladder) != 3 || l.Ladder[2].Rules[2].Admit != 0.25 ||
		l.Ladder[1].Rules[2].Repeats || l.Pin[2] != "a" || l.Cap[levels.AllGroups] != "b" {
		t.Errorf("%+v", l)
	}
	if _, ok := l.Pin[logic.GroupID(1)]; ok {
		t.Error("a pin that was not set")
	}
}

// All errors of a file must be reported at once, each with its position and the nearest known name.
func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	_, err := Parse("bad.star", []byte(`levels(dwel = "5s", enter = 2)
level("lean", admit = {"katalok": 0.5})
level("spare", admit = {"katalog": "half"})
level("spare")
level("more", come_back = {"katalog": "soon"})
pin("leen")
`), classes)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		`bad.star:1:8: levels has no setting "dwel" (did you mean "dwell"?)`,
		`bad.star:1:21: enter is 2, a number from 0.001 to 1 was expected`,
		`bad.star:2:15: admit: no class "katalok" (did you mean "katalog"?)`,
		`bad.star:3:16: admit is "half", a number from 0 to 1 was expected`,
		`bad.star:4:1: level "spare" is defined twice`,
		`bad.star:5:15: come_back is "soon", a duration with a unit was expected`,
		`bad.star:6:1: level is "leen", one of normal, lean, spare, spare, more was expected (did you mean "lean"?)`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing: %s", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

// Execution of a file must be bounded: no endless loops, recursion, large values, or access to other files. Invalid files are rejected.
func TestInvalidFilesAreRejected(t *testing.T) {
	for name, want := range map[string]struct{ text, err string }{
		"endless":      {"def f():\n    for i in range(1000000000):\n        x = i\nf()\n", "too many steps"},
		"recursion":    {"def f():\n    f()\nf()\n", "called recursively"},
		"while":        {"while True:\n    pass\n", "while"},
		"load":         {`load("other.star", "x")`, "load"},
		"unknown word": {"levles()\n", "undefined: levles"},
		"syntax":       {"levels(\n", "x.star:2:1"},
		"large":        {strings.Repeat("#", 2<<20), "at most"},
		"memory":       {"x = 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa' * 900000000\n", "excessive repeat"},
		"more below":   {"level('a', admit = {'katalog': 0.2})\nlevel('b', admit = {'katalog': 0.5})\n", "more than 0.2 at \"a\" below it"},
		"normal":       {"level('normal')\n", "needs no description"},
		"leave":        {"levels(enter = 0.05, leave = 0.06)\n", "must be below enter"},
		"pin twice":    {"pin('core', group = 1)\npin('core', group = 1)\n", "twice"},
	} {
		if _, err := Parse("x.star", []byte(want.text), classes); err == nil || !strings.Contains(err.Error(), want.err) {
			t.Errorf("%s: %v, want %q", name, err, want.err)
		}
	}
}

// handover() must apply its defaults and check the ranges of its settings, as must trace() and routing().
func TestHandoverSettings(t *testing.T) {
	f, err := Parse("x.star", []byte("handover(likely = 0.7, drain_to = '1s', most_held = 20, margin_ms = 250)\n"), classes)
	if err != nil {
		t.Fatal(err)
	}
	h := f.Handover
	if !h.Hold || h.Likely != 0.7 || h.Keep != 0.45 || h.Drain.To != time.Second || h.Drain.From != 450*time.Millisecond ||
		h.MostHeld != 20 || h.Margin != 250*time.Millisecond || h.Death.To != 7*time.Second {
		t.Errorf("%+v", h)
	}
	if f, err := Parse("x.star", []byte("handover(hold = False)\n"), classes); err != nil || f.Handover.Hold {
		t.Error(f, err)
	}
	for text, want := range map[string]string{
		"handover(likely = 2)":               "likely is 2",
		"handover(likely = 0.3, keep = 0.5)": "keep is 0.5",
		"handover(death_from = '9s')":        "death is 9s to 7s",
		"handover(margin = '-1s')":           "margin is",
		"handover()\nhandover()":             "second time",
		"trace()":                            "file is missing",
		"trace(file = 'a', sample = 2)":      "sample is 2",
		"routing()\nrouting()":               "second time",
		"routing(ping_window = '2s')":        "ping_window is 2s",
		"routing(first_limit = 0)":           "first_limit is 0",
		"handover(hodl = True)":              "did you mean \"hold\"",
	} {
		if _, err := Parse("x.star", []byte(text+"\n"), classes); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := Read("no/such/file.star", classes); !os.IsNotExist(err) {
		t.Error(err)
	}
}

func TestRoutingSettings(t *testing.T) {
	f, err := Parse("x.star", []byte("routing(ping_window = '5ms', first_limit = 12)\n"), classes)
	if err != nil || f.Tuning != (logic.Tuning{PingWindow: 5 * time.Millisecond, FirstLimit: 12}) {
		t.Errorf("%+v, %v", f, err)
	}
}

// consul() and members() must apply their defaults and reject invalid settings.
func TestConsulSettings(t *testing.T) {
	f, err := Parse("x.star", []byte(`consul(agents = ["https://c:8501"], services = {"db": 2}, mode = "stale", datacenters = ["a", "b"], alone = True, zone_in = "hall")
members(panic = 0.3, lost = "4s", keep = "1m")
`), classes)
	if err != nil {
		t.Fatal(err)
	}
	c := f.Consul
	if c.Agents[0] != "https://c:8501" || c.Services["db"] != 2 || c.Consistency != "stale" || len(c.Datacenters) != 2 || !c.Exclusive || c.WaitTime != 30*time.Second ||
		c.Mapping.ZoneIn != "hall" || f.Members.PanicFraction != 0.3 || f.Members.UnlistedTimeout != 4*time.Second {
		t.Errorf("%+v, %+v", c, f.Members)
	}
	for text, want := range map[string]string{
		`consul(services = {"db": 0})`:                                           "agents is missing",
		`consul(agents = ["http://a:1"])`:                                        "services is missing",
		`consul(agents = ["a:1"], services = {"db": 0})`:                         "a URL such as",
		`consul(agents = ["http://u:p@a:1"], services = {"db": 0})`:              "without a user",
		`consul(agents = ["http://a:1"], services = {"db": -1})`:                 "a number was expected",
		`consul(agents = ["http://a:1"], services = {"db": 0}, mode = "fresh")`:  "one of default, stale, consistent",
		`consul(agents = ["http://a:1"], services = {"db": 0}, cert_file = "x")`: "must be given together",
		`members(suppress = 10, reuse = 20)`:                                     "each must be below the next",
		`members(lost = "10m", keep = "1m")`:                                     "keep is 1m0s",
	} {
		if _, err := Parse("x.star", []byte(text+"\n"), classes); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// revision() must set the number of the file, and must be rejected beside tier(), whose planners number the policies.
func TestRevision(t *testing.T) {
	f, err := Parse("x.star", []byte("revision(number = 7, tell_clients = True)"), classes)
	if err != nil || f.Revision != (Revision{7, true}) {
		t.Errorf("%+v, %v", f.Revision, err)
	}
	for text, want := range map[string]string{
		"revision()":           "number is missing",
		"revision(number = 0)": "a whole number from 1",
		"revision(number = 1)\nrevision(number = 2)":                 "called a second time",
		"revision(number = 1)\ntier(planners = [\"10.0.0.1:7400\"])": "beside tier()",
		"tier(planners = [\"10.0.0.1:7400\"])\nrevision(number = 1)": "beside tier()",
	} {
		if _, err := Parse("x.star", []byte(text), classes); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Health checks are shared only if the file limits them.
func TestTierCheckLimits(t *testing.T) {
	for text, want := range map[string][2]float64{
		`tier(planners = ["10.0.0.1:7400"])`:                                   {0, 1600},
		`tier(planners = ["10.0.0.1:7400"], checks = 10, report_bytes = 2000)`: {10, 2000},
	} {
		f, err := Parse("x.star", []byte(text), classes)
		if err != nil || [2]float64{f.Tier.ChecksPerSecond, f.Tier.ReportBytesPerSecond} != want {
			t.Errorf("%s: %+v, %v", text, f.Tier, err)
		}
	}
	for text, want := range map[string]string{
		`tier(planners = ["10.0.0.1:7400"], report_bytes = 2000)`: "requires checks",
		`tier(planners = ["10.0.0.1:7400"], checks = -1)`:         "checks",
	} {
		if _, err := Parse("x.star", []byte(text), classes); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

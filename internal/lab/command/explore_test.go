package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"havenproxy/internal/trace"
)

// lab runs havenlab and gives what it printed.
func lab(t *testing.T, code int, args ...string) string {
	t.Helper()
	var out, errs output
	if got := Main(args, &out, &errs); got != code {
		t.Fatalf("%q: exit %d, wanted %d: %s%s", args, got, code, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

func holds(t *testing.T, text string, words ...string) {
	t.Helper()
	for _, w := range words {
		if !strings.Contains(text, w) {
			t.Errorf("%q is missing in:\n%s", w, text)
		}
	}
}

const tiny = "fleet(groups = 1, members = 3)\ntraffic(demand = 0.6, length = '8s')\n"

// Each command does its work on a small file, and its pages hold what they are to show.
func TestExploring(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	read := func(name string) string {
		text, err := os.ReadFile(file(name))
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	plain := write(t, tiny)
	holds(t, lab(t, 0, "model", plain, "--runs", "2", "--html", file("run.html"), "--json", file("run.json")), "worth", "in aim kayit-yaz", "2 runs")
	holds(t, read("run.html"), "<svg", "Answer times", "Load of the databases", "stok-bakis", "answered in aim, %", "answer time, ms", "time of the request, s")
	holds(t, read("run.json"), `"p99 katalog"`)
	drained := write(t, tiny+"fault('drain', at = '2s', lasts = '2s')\nvariant('off')\nvariant('on', operator = 'handover()')\nquestion('worth')\nquestion('in aim', of = 'kayit-yaz')\n")
	text := lab(t, 0, "compare", drained, "--html", file("cmp.html"), "--json", file("cmp.json"))
	holds(t, text, `against "off"`, "in aim kayit-yaz", "verdict")
	holds(t, read("cmp.html"), "<svg", "Verdicts (model", "difference: worth")
	if again := lab(t, 0, "compare", drained); again[:strings.LastIndex(strings.TrimSpace(again), "\n")] != text[:strings.LastIndex(strings.TrimSpace(text), "\n")] {
		t.Error("the same seed gave another comparison")
	}
	swept := write(t, tiny+"sweep(operator = 'routing(first_limit = {x})', values = {'x': [6, 36]})\nruns(looks = [5])\n")
	holds(t, lab(t, 0, "sweep", swept, "--plot", file("sweep.svg")), "x = 36")
	holds(t, read("sweep.svg"), "<svg")
	holds(t, lab(t, 0, "sensitivity", write(t, tiny+"runs(looks = [5])\n"), "--calls", "routing"), "routing.first_limit", "routing.ping_window")
	text = lab(t, 0, "worst", plain, "--tries", "24", "--seeds", "1", "--out", file("worst.star"))
	holds(t, text, "after", "fault(")
	// The file that it leaves replays the worst day it found.
	said := strings.Fields(strings.Split(text[strings.LastIndex(text, "worth "):], "\n")[0])[1]
	var worth string
	for _, line := range strings.Split(lab(t, 0, "model", file("worst.star")), "\n") {
		if f := strings.Fields(line); len(f) == 4 && f[0] == "worth" {
			worth = f[1]
		}
	}
	if worth != said {
		t.Errorf("the search found a worth of %s, its file replays %s", said, worth)
	}
	holds(t, lab(t, 0, "growth", "--sizes", "2x4,4x8", "--length", "2s", "--plot", file("growth.svg")), "2x4", "4x8", "probes/request")
	holds(t, read("growth.svg"), "<svg")
	for args, want := range map[string]string{
		"compare " + plain:                        "names 1 variants, two at least",
		"sweep " + plain:                          "has no sweep()",
		"sensitivity " + plain + " --calls mysql": "has no settings that are known here",
		"worst " + drained + " --kind crash":      "has faults of its own",
		"worst " + plain + " --kind nonsense":     "one of",
		"worst " + plain + " --faults 0":          "--faults is from 1",
		"growth --sizes 3by4":                     "proxies and databases were expected",
		"growth --demand 0":                       "--demand is",
		"model " + plain + " --runs 0":            "--runs is 0",
		"fit " + plain + " --speed 0":             "--speed is 0",
		"model no-such.star":                      "no-such.star",
		"compare " + drained + " --sockets 3":     "at least 5",
	} {
		code := 2
		if strings.Contains(args, "--sockets") || strings.Contains(args, "no-such") {
			code = 0
		}
		var out, errs output
		got := Main(strings.Fields(strings.Replace(args, "compare "+plain, "compare "+write(t, tiny+"variant('a')\n"), 1)), &out, &errs)
		if got == 0 || code == 2 && got != 2 || !strings.Contains(errs.String(), want) {
			t.Errorf("%s: exit %d: %s", args, got, errs.String())
		}
	}
}

// From the real program to a scenario: it keeps what clients ask on sockets, the trace is read, and its scenario is played again.
func TestATraceFromTheRealProgram(t *testing.T) {
	dir := t.TempDir()
	day := filepath.Join(dir, "day.trace")
	salt := filepath.Join(dir, "salt")
	operator := filepath.Join(dir, "operator.star")
	os.WriteFile(salt, []byte("sixteen secret bytes"), 0o600)
	os.WriteFile(operator, []byte("trace(file = '"+day+"', salt_file = '"+salt+"', most_mb = 1)\n"), 0o600)
	played := write(t, "fleet(groups = 2, members = 3)\ntraffic(rps = 150, length = '4s', sessions = 40)\nfault('slow', at = '1s', lasts = '1s')\n")
	runs := filepath.Join(dir, "runs.json")
	lab(t, 0, "run", played, "--proxy", binary, "--operator", operator, "--json", runs)
	page := strings.TrimSpace(lab(t, 0, "report", runs, "--png", filepath.Join(dir, "pictures")))
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	holds(t, string(text), "Longest answers", "slow, group 0", "uncorrected p50", "<svg", "What happened")
	if list, err := os.ReadDir(filepath.Join(dir, "pictures")); err != nil || len(list) != 2 {
		t.Error(list, err)
	}
	lab(t, 2, "report", operator)
	tr, err := trace.Load(day)
	if err != nil || tr.Truncated || tr.CorruptBlocks > 0 {
		t.Fatalf("%v, %+v", err, tr)
	}
	sessions, classes := map[uint64]bool{}, map[int]bool{}
	for _, r := range tr.Records {
		sessions[r.Session], classes[r.Class] = true, true
		if r.Group > 1 || r.Size == 0 || r.Wait <= 0 {
			t.Fatalf("%+v", r)
		}
	}
	if n := len(tr.Records); n < 450 || n > 750 || len(sessions) < 60 || len(sessions) > 82 || len(classes) != 5 {
		t.Errorf("%d records of %d sessions in %d classes", n, len(sessions), len(classes))
	}
	holds(t, lab(t, 0, "fit", day, "--out", filepath.Join(dir, "day.star")), "gaps between requests", "dispersion")
	holds(t, lab(t, 0, "model", filepath.Join(dir, "day.star")), "worth")
	replay := filepath.Join(dir, "replay.star")
	os.WriteFile(replay, []byte("fleet(groups = 2, members = 3)\ntraffic(length = '1s')\nreplay('day.trace', speed = 4)\n"), 0o600)
	holds(t, lab(t, 0, "model", replay), "worth")
	for text, want := range map[string]string{
		"trace(file = '" + day + "', salt_file = '/no/such/salt')": "no such file",
		"trace(file = '/no/such/folder/x')":                        "no such file",
	} {
		os.WriteFile(operator, []byte(text+"\n"), 0o600)
		var out, errs output
		if code := Main([]string{"run", write(t, tiny), "--proxy", binary, "--operator", operator}, &out, &errs); code != 1 || !strings.Contains(errs.String(), want) {
			t.Errorf("%s: exit %d: %s", text, code, errs.String())
		}
	}
	os.WriteFile(salt, []byte("short"), 0o600)
	os.WriteFile(operator, []byte("trace(file = '"+day+"', salt_file = '"+salt+"')\n"), 0o600)
	var out, errs output
	if code := Main([]string{"run", write(t, tiny), "--proxy", binary, "--operator", operator}, &out, &errs); code != 1 || !strings.Contains(errs.String(), "holds 5 bytes, at least 16") {
		t.Errorf("exit %d: %s", code, errs.String())
	}
}

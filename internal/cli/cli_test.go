package cli

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"havenproxy/internal/wire/pg"
)

func call(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodesAndWords(t *testing.T) {
	t.Setenv("EDGE_CONFIG", "")
	bad := filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(bad, []byte("levels(dwel = '5s')\nlevel('x', admit = {'katalok': 1})\n"), 0o600)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"version", 0, "havenproxy"},
		{"check ../../deploy/operator.star --config ../../deploy/example.json", 0, "ok"},
		{"check --config ../../deploy/example.json", 0, "ok"},
		{"check " + bad + " --config ../../deploy/example.json", 2, "bad.star:1:8: levels has no setting \"dwel\" (did you mean \"dwell\"?)"},
		{"check " + bad + " --config ../../deploy/example.json", 2, "bad.star:2:12: admit: no class \"katalok\""},
		{"check ../../deploy/operator.star", 2, "--config"},
		{"check --config no-such.json", 2, "no-such.json"},
		{"chek", 2, "did you mean \"check\"?"},
		{"status", 2, "arg"},
		{"status 127.0.0.1:1 --every 1ms", 2, "--every"},
		{"--log-level loud", 2, "--log-level"},
		{"serve --log-format xml", 2, "--log-format"},
		{"--no-such-flag", 2, "no-such-flag"},
		{"", 1, "EDGE_CONFIG is not set"},
		{"serve", 1, "EDGE_CONFIG is not set"},
		{"--help", 0, "deploy/operator.star"},
		{"completion bash", 0, "bash completion"},
	} {
		code, out, errs := call(strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%q: exit %d, want %d with %q:\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
	}
}

// A start that fails says so in one line.
func TestABadOperatorsFileAtTheStartIsOneLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(bad, []byte("levels(dwel = '5s')\nlevel('x', admit = {'katalok': 1})\n"), 0o600)
	t.Setenv("EDGE_CONFIG", "../../deploy/example.json")
	code, _, errs := call("serve", "--operator", bad)
	if code != 1 || strings.Count(errs, "\n") != 1 || !strings.Contains(errs, "katalok") {
		t.Errorf("exit %d:\n%s", code, errs)
	}
}

func TestStatusDrawsWhatAConsoleTells(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		chunk := make([]byte, 4096)
		c.Read(chunk)
		c.Write(pg.AppendWelcome(nil))
		c.Read(chunk)
		c.Write(pg.AppendTable(nil, []string{"group", "level"}, [][]string{{"0", "lean"}, {"1", "normal"}}, "SHOW", 1<<16))
		c.Read(chunk)
		c.Write(pg.AppendError(nil, "42601", "the console knows SHOW LEVELS"))
	}()
	code, out, errs := call("status", ln.Addr().String(), "--show", "levels")
	if code != 0 || !strings.Contains(out, "LEVELS") || !strings.Contains(out, "0      lean") {
		t.Errorf("exit %d:\n%s%s", code, out, errs)
	}
	if code, _, _ := call("status", "127.0.0.1:1"); code != 1 {
		t.Errorf("nobody there: exit %d", code)
	}
}

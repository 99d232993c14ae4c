package cli

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"havenproxy/internal/wire/mysql"
	"havenproxy/internal/wire/pg"
)

func call(args ...string) (code int, out, stderr string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodesAndMessages(t *testing.T) {
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
		code, out, stderr := call(strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+stderr, c.want) {
			t.Errorf("%q: exit %d, want %d with %q:\n%s%s", c.args, code, c.code, c.want, out, stderr)
		}
	}
}

// An invalid operator's file at the start must be reported in one line.
func TestInvalidOperatorFileIsReportedInOneLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.star")
	os.WriteFile(bad, []byte("levels(dwel = '5s')\nlevel('x', admit = {'katalok': 1})\n"), 0o600)
	t.Setenv("EDGE_CONFIG", "../../deploy/example.json")
	code, _, stderr := call("serve", "--operator", bad)
	if code != 1 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "katalok") {
		t.Errorf("exit %d:\n%s", code, stderr)
	}
}

func TestStatusShowsConsoleTables(t *testing.T) {
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
	code, out, stderr := call("status", ln.Addr().String(), "--show", "levels")
	if code != 0 || !strings.Contains(out, "LEVELS") || !strings.Contains(out, "0      lean") {
		t.Errorf("exit %d:\n%s%s", code, out, stderr)
	}
	if code, _, _ := call("status", "127.0.0.1:1"); code != 1 {
		t.Errorf("no server: exit %d", code)
	}
}

// The output of secret must be accepted by the operator's file and match the password, which must not be printed.
func TestSecrets(t *testing.T) {
	const password = "Çam-kereste 7"
	for _, kind := range []string{"salted", "sha2", "native"} {
		in, err := os.Open(write(t, password+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		was := os.Stdin
		os.Stdin = in
		code, out, stderr := call("secret", "--kind", kind)
		os.Stdin = was
		in.Close()
		s, err := mysql.ParseSecret(strings.TrimSpace(out))
		if code != 0 || err != nil || strings.Contains(out+stderr, password) {
			t.Fatalf("%s: %d, %q, %q, %v", kind, code, out, stderr, err)
		}
		scramble := bytes.Repeat([]byte{'s'}, mysql.ScrambleLen)
		right, wrong := true, false
		if kind == "salted" {
			_, right = s.Full(password)
			_, wrong = s.Full("x")
		} else {
			for p, ok := range map[string]*bool{password: &right, "x": &wrong} {
				answer, err := mysql.AnswerScramble(s.Plugin(), p, scramble)
				if err != nil {
					t.Fatal(err)
				}
				*ok = s.Fast(scramble, answer)
			}
		}
		if !right || wrong {
			t.Errorf("%s: right %v, wrong %v", kind, right, wrong)
		}
	}
	for args, in := range map[string]string{"secret": "", "secret --kind md5": "x\n"} {
		f, err := os.Open(write(t, in))
		if err != nil {
			t.Fatal(err)
		}
		was := os.Stdin
		os.Stdin = f
		if code, out, _ := call(strings.Fields(args)...); code != 2 || out != "" {
			t.Errorf("%s: %d, %q", args, code, out)
		}
		os.Stdin = was
		f.Close()
	}
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "in")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

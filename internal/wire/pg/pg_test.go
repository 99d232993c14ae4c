package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func message(kind byte, body string) []byte {
	out := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))...)
	return append(out, body...)
}

// answer is what a database sends: a row, whose position and role stand before ReadyForQuery.
func answer(value string) []byte {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return bytes.Join([][]byte{message('T', "\x00\x01val\x00"), message('D', string(row)+value), message('C', "SELECT 1\x00"),
		message('S', "role\x00replica\x00"), message('S', "applied_ms\x001767225600123\x00"), message('Z', "I")}, nil)
}

// feed gives the parser a stream in the pieces that the cuts make, as a connection would, and tells what it
// took out and where it stopped.
func feed(stream []byte, cuts []int, take func(buf []byte) (int, error)) error {
	var buf []byte
	for at := 0; at < len(stream); {
		n := len(stream) - at
		if len(cuts) > 0 {
			n, cuts = min(cuts[0], n), cuts[1:]
		}
		buf, at = append(buf, stream[at:at+n]...), at+n
		for {
			n, err := take(buf)
			if err != nil {
				return err
			}
			if n == 0 {
				break
			}
			if n > len(buf) {
				return fmt.Errorf("took %d of %d bytes", n, len(buf))
			}
			buf = buf[n:]
		}
	}
	if len(buf) > 0 {
		return fmt.Errorf("%d bytes are left", len(buf))
	}
	return nil
}

var cuts = rapid.SliceOf(rapid.IntRange(1, 40))

func TestClientStreamInAnyCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-z '/*=,]{0,60}`), 1, 8).Draw(t, "texts")
		stream := AppendStartup(nil, "client", "core")
		for _, text := range texts {
			stream = AppendQuery(stream, text)
		}
		opened, got := false, []string(nil)
		err := feed(stream, cuts.Draw(t, "cuts"), func(buf []byte) (int, error) {
			if !opened {
				_, n, err := NextOpening(buf)
				opened = n > 0
				return n, err
			}
			m, n, err := Next(buf)
			if n > 0 {
				text, err := QueryText(m)
				if err != nil {
					return n, err
				}
				got = append(got, string(text))
			}
			return n, err
		})
		if err != nil || fmt.Sprint(got) != fmt.Sprint(texts) {
			t.Fatalf("got %q, error %v", got, err)
		}
	})
}

func TestDatabaseStreamInAnyCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := string(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "value"))
		var r Reply
		err := feed(answer(value), cuts.Draw(t, "cuts"), func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				err = r.Add(m)
			}
			return n, err
		})
		if err != nil || !r.Ready() || !r.Served() || r.Row() != value || r.Role != RoleReplica || r.Position != 1767225600123 {
			t.Fatalf("%+v, error %v", r, err)
		}
		if want := answer(value); !bytes.HasPrefix(want, r.Body) {
			t.Fatal("the row was not passed on as it came")
		}
	})
}

func TestGarbageIsAnErrorOrWaitsForMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		junk := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "junk")
		if rapid.Bool().Draw(t, "typed") { // a plausible head gets deeper into the parsers
			junk = message(rapid.SampledFrom([]byte("RSKZTDCIEN")).Draw(t, "type"), string(junk))
		}
		if _, n, err := NextOpening(junk); n > len(junk) || n > 0 && err != nil {
			t.Fatalf("opening: %d of %d bytes, error %v", n, len(junk), err)
		}
		var r Reply
		feed(junk, nil, func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				QueryText(m)
				err = r.Add(m)
			}
			return n, err
		})
		ParseStatement(string(junk))
		ParseReport(string(junk))
	})
	for name, in := range map[string][]byte{"negative length": {'Q', 0xff, 0, 0, 0}, "too long": {'Q', 0, 0x10, 0, 0},
		"too short": {'Q', 0, 0, 0, 3}} {
		if _, _, err := Next(in); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	// More than one row or answer would let a broken database fill the memory.
	for _, twice := range [][]byte{message('T', "\x00\x01v\x00"), message('C', "SELECT 1\x00"), message('D', "\x00\x01\x00\x00\x00\x00")} {
		var r Reply
		m, _, _ := Next(twice)
		if r.Add(m) != nil || r.Add(m) == nil {
			t.Errorf("%q: taken twice", twice)
		}
	}
}

const read = `SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */`

func TestStatement(t *testing.T) {
	s, err := ParseStatement(read)
	if err != nil || s.Class != "basket" || s.Wait != 480*time.Millisecond || s.Group != 2 || s.After != 1767225600123 ||
		s.Session != 0x7f3a9c21e0b4d655 || s.Retry {
		t.Errorf("%+v, error %v", s, err)
	}
	m, _, err := Next(s.AppendTo(nil, 123999*time.Microsecond))
	text, _ := QueryText(m)
	if want := strings.Replace(read, "d=480", "d=123", 1); err != nil || string(text) != want {
		t.Errorf("sent on as %q, want %q", text, want)
	}
	write := `INSERT INTO state (uid, val) VALUES ('ab', '/* d=1 */') RETURNING val /* id=1,c=order,d=9,k=5c,cluster=2,r=1 */;`
	if s, err = ParseStatement(write); err != nil || s.Class != "order" || s.Wait != 9*time.Millisecond || s.Session == 0 || !s.Retry {
		t.Errorf("%+v, error %v", s, err)
	}
	// A client's last try may have less than a millisecond left: taken for malformed, it lost its answer.
	if s, err = ParseStatement(strings.Replace(read, "d=480", "d=0", 1)); err != nil || s.Wait != 0 {
		t.Errorf("d=0: %+v, error %v", s, err)
	}
	for _, bad := range []string{"SELECT 1", "/**/", "'a' /*/", strings.Replace(read, "d=480", "d=-1", 1),
		strings.Replace(read, "d=480,", "", 1), strings.Replace(read, "id=9b1f03aa5c7e2d41,", "", 1),
		strings.Replace(read, "c=basket", "id=2", 1), strings.Replace(read, "cluster=2", "cluster=x", 1), read + " SELECT 1"} {
		if s, err := ParseStatement(bad); err == nil {
			t.Errorf("%q passed as %+v", bad, s)
		}
	}
}

func TestCodesThatBlameTheStatement(t *testing.T) {
	for code, want := range map[string]bool{"08P01": true, "22P02": true, "42601": true, "XX000": false, "53300": false,
		"25006": false, "72000": false, "57P03": false} {
		if Unfit(code) != want {
			t.Errorf("%s: %v", code, !want)
		}
	}
}

// A refusal's hint is rounded up and stands in the field D.
func TestRefusalCarriesItsHint(t *testing.T) {
	m, n, _ := Next(AppendRefused(nil, 1500*time.Microsecond))
	if m.Type != 'E' || !bytes.Contains(m.Body, []byte("C53300\x00")) || !bytes.Contains(m.Body, []byte("\x00D2\x00")) || n == 0 {
		t.Errorf("%q", m.Body)
	}
}

// The digits behind the 24 bits of a 32-bit float are what tells a replica's age.
func TestReportKeepsItsDigits(t *testing.T) {
	if r := ParseReport("x0=1767225600.123,x1=1,inflight=7"); r.Position != 1767225600.123 || r.Role != RolePrimary || r.Queue >= 0 || !r.Told {
		t.Errorf("%+v", r)
	}
	if r := ParseReport("no report"); r.Told {
		t.Errorf("%+v", r)
	}
}

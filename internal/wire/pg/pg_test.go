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

func encodeMessage(kind byte, body string) []byte {
	encoded := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))...)
	return append(encoded, body...)
}

// answer returns what a database sends: a row, and the role and position before ReadyForQuery.
func answer(value string) []byte {
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return bytes.Join([][]byte{encodeMessage('T', "\x00\x01val\x00"), encodeMessage('D', string(row)+value), encodeMessage('C', "SELECT 1\x00"),
		encodeMessage('S', "role\x00replica\x00"), encodeMessage('S', "applied_ms\x001767225600123\x00"), encodeMessage('Z', "I")}, nil)
}

// feed appends a stream to a buffer in pieces of the given sizes, as from a network connection, and calls consume
// after each piece until it consumes nothing. It returns the first error, or an error if bytes are left.
func feed(stream []byte, sizes []int, consume func(buf []byte) (int, error)) error {
	var buf []byte
	for at := 0; at < len(stream); {
		n := len(stream) - at
		if len(sizes) > 0 {
			n, sizes = min(sizes[0], n), sizes[1:]
		}
		buf, at = append(buf, stream[at:at+n]...), at+n
		for {
			n, err := consume(buf)
			if err != nil {
				return err
			}
			if n == 0 {
				break
			}
			if n > len(buf) {
				return fmt.Errorf("consumed %d of %d bytes", n, len(buf))
			}
			buf = buf[n:]
		}
	}
	if len(buf) > 0 {
		return fmt.Errorf("%d bytes are left", len(buf))
	}
	return nil
}

var pieceSizes = rapid.SliceOf(rapid.IntRange(1, 40))

func TestClientStreamInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-z '/*=,]{0,60}`), 1, 8).Draw(t, "texts")
		stream := AppendStartup(nil, "client", "core")
		for _, text := range texts {
			stream = AppendQuery(stream, text)
		}
		started, got := false, []string(nil)
		err := feed(stream, pieceSizes.Draw(t, "cuts"), func(buf []byte) (int, error) {
			if !started {
				_, n, err := NextStartup(buf)
				started = n > 0
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

func TestDatabaseStreamInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := string(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "value"))
		var r Reply
		err := feed(answer(value), pieceSizes.Draw(t, "cuts"), func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				err = r.Add(m)
			}
			return n, err
		})
		if err != nil || !r.Ready() || !r.Complete() || r.Row() != value || r.Role != RoleReplica || r.Position != 1767225600123 {
			t.Fatalf("%+v, error %v", r, err)
		}
		if want := answer(value); !bytes.HasPrefix(want, r.Body) {
			t.Fatal("the row was changed")
		}
	})
}

func TestArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		junk := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "junk")
		if rapid.Bool().Draw(t, "typed") { // a valid header reaches more of the parsers
			junk = encodeMessage(rapid.SampledFrom([]byte("RSKZTDCIEN")).Draw(t, "type"), string(junk))
		}
		if _, n, err := NextStartup(junk); n > len(junk) || n > 0 && err != nil {
			t.Fatalf("startup message: %d of %d bytes, error %v", n, len(junk), err)
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
		ParseLoadReport(string(junk))
	})
	for name, input := range map[string][]byte{"negative length": {'Q', 0xff, 0, 0, 0}, "too long": {'Q', 0, 0x10, 0, 0},
		"too short": {'Q', 0, 0, 0, 3}} {
		if _, _, err := Next(input); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	// A faulty database could exhaust the memory with more than one row or result.
	for _, twice := range [][]byte{encodeMessage('T', "\x00\x01v\x00"), encodeMessage('C', "SELECT 1\x00"), encodeMessage('D', "\x00\x01\x00\x00\x00\x00")} {
		var r Reply
		m, _, _ := Next(twice)
		if r.Add(m) != nil || r.Add(m) == nil {
			t.Errorf("%q: accepted twice", twice)
		}
	}
}

const read = `SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */`

func TestStatement(t *testing.T) {
	s, err := ParseStatement(read)
	if err != nil || s.Class != "basket" || s.Timeout != 480*time.Millisecond || s.Group != 2 || s.LastCommit != 1767225600123 ||
		s.Session != 0x7f3a9c21e0b4d655 || s.Retry {
		t.Errorf("%+v, error %v", s, err)
	}
	m, _, err := Next(s.AppendTo(nil, 123999*time.Microsecond))
	text, _ := QueryText(m)
	if want := strings.Replace(read, "d=480", "d=123", 1); err != nil || string(text) != want {
		t.Errorf("forwarded as %q, want %q", text, want)
	}
	write := `INSERT INTO state (uid, val) VALUES ('ab', '/* d=1 */') RETURNING val /* id=1,c=order,d=9,k=5c,cluster=2,r=1 */;`
	if s, err = ParseStatement(write); err != nil || s.Class != "order" || s.Timeout != 9*time.Millisecond || s.Session == 0 || !s.Retry {
		t.Errorf("%+v, error %v", s, err)
	}
	// A client's last attempt may have less than a millisecond left. When d=0 was rejected as malformed, the client lost its answer.
	if s, err = ParseStatement(strings.Replace(read, "d=480", "d=0", 1)); err != nil || s.Timeout != 0 {
		t.Errorf("d=0: %+v, error %v", s, err)
	}
	for _, bad := range []string{"SELECT 1", "/**/", "'a' /*/", strings.Replace(read, "d=480", "d=-1", 1),
		strings.Replace(read, "d=480,", "", 1), strings.Replace(read, "id=9b1f03aa5c7e2d41,", "", 1),
		strings.Replace(read, "c=basket", "id=2", 1), strings.Replace(read, "cluster=2", "cluster=x", 1), read + " SELECT 1"} {
		if s, err := ParseStatement(bad); err == nil {
			t.Errorf("%q was accepted as %+v", bad, s)
		}
	}
}

func TestIsStatementError(t *testing.T) {
	for code, want := range map[string]bool{"08P01": true, "22P02": true, "42601": true, "XX000": false, "53300": false,
		"25006": false, "72000": false, "57P03": false} {
		if IsStatementError(code) != want {
			t.Errorf("%s: %v", code, !want)
		}
	}
}

// The retry time of a refusal is rounded up and sent in the field D.
func TestRefusalHasRetryAfter(t *testing.T) {
	m, n, _ := Next(AppendRefused(nil, 1500*time.Microsecond))
	if m.Type != 'E' || !bytes.Contains(m.Body, []byte("C53300\x00")) || !bytes.Contains(m.Body, []byte("\x00D2\x00")) || n == 0 {
		t.Errorf("%q", m.Body)
	}
}

// A position must keep more digits than the 24 bits of a 32-bit float hold: they determine how old a replica is.
func TestLoadReportPrecision(t *testing.T) {
	if r := ParseLoadReport("x0=1767225600.123,x1=1,inflight=7"); r.Position != 1767225600.123 || r.Role != RolePrimary || r.QueueLength >= 0 || !r.Present {
		t.Errorf("%+v", r)
	}
	if r := ParseLoadReport("no report"); r.Present {
		t.Errorf("%+v", r)
	}
}

package pg

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// What AppendTable writes, Rows reads, in any cuts.
func TestTablesInAnyCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9 ]{0,12}`)
		columns := rapid.SliceOfN(word, 1, 5).Draw(t, "columns")
		rows := rapid.SliceOfN(rapid.SliceOfN(word, len(columns), len(columns)), 0, 6).Draw(t, "rows")
		var r Rows
		err := feed(AppendTable(nil, columns, rows, "SHOW", 64<<10), cuts.Draw(t, "cuts"), func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				err = r.Add(m)
			}
			return n, err
		})
		if err != nil || !r.Ended || !reflect.DeepEqual(r.Columns, columns) || len(r.Rows) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(r.Rows, rows) {
			t.Fatalf("%+v, %v", r, err)
		}
	})
}

func TestALongTableIsCutAndSaysSo(t *testing.T) {
	rows := make([][]string, 1000)
	for i := range rows {
		rows[i] = []string{strings.Repeat("x", 100)}
	}
	out := AppendTable(nil, []string{"c"}, rows, "SHOW", 8<<10)
	var r Rows
	feed(out, nil, func(buf []byte) (int, error) {
		m, n, err := Next(buf)
		if n > 0 {
			err = r.Add(m)
		}
		return n, err
	})
	if len(out) > 8<<10 || len(r.Rows) < 60 || !r.Ended || !strings.Contains(string(out), "rows left out") {
		t.Errorf("%d bytes, %d rows", len(out), len(r.Rows))
	}
}

func TestGarbageIsNoTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		junk := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "junk")
		var r Rows
		r.Add(Message{Type: rapid.SampledFrom([]byte("TDECZ")).Draw(t, "type"), Body: junk}) // must not panic
		Opened(AppendStartup(nil, "u", string(junk)), "database")
	})
}

func TestOpenedFindsTheDatabase(t *testing.T) {
	if got := Opened(AppendStartup(nil, "u", "havenproxy"), "database"); got != "havenproxy" {
		t.Errorf("%q", got)
	}
	if got := Opened(AppendStartup(nil, "u", "d"), "options"); got != "" {
		t.Errorf("%q", got)
	}
}

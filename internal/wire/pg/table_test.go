package pg

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// ResultSet decodes what AppendResultSet encodes, however the stream is split.
func TestResultSetsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9 ]{0,12}`)
		columns := rapid.SliceOfN(word, 1, 5).Draw(t, "columns")
		rows := rapid.SliceOfN(rapid.SliceOfN(word, len(columns), len(columns)), 0, 6).Draw(t, "rows")
		var r ResultSet
		err := feed(AppendResultSet(nil, columns, rows, "SHOW", 64<<10), pieceSizes.Draw(t, "cuts"), func(buf []byte) (int, error) {
			m, n, err := Next(buf)
			if n > 0 {
				err = r.Add(m)
			}
			return n, err
		})
		if err != nil || !r.Complete || !reflect.DeepEqual(r.Columns, columns) || len(r.Rows) != len(rows) || len(rows) > 0 && !reflect.DeepEqual(r.Rows, rows) {
			t.Fatalf("%+v, %v", r, err)
		}
	})
}

func TestLongResultSetIsTruncatedWithNotice(t *testing.T) {
	rows := make([][]string, 1000)
	for i := range rows {
		rows[i] = []string{strings.Repeat("x", 100)}
	}
	encoded := AppendResultSet(nil, []string{"c"}, rows, "SHOW", 8<<10)
	var r ResultSet
	feed(encoded, nil, func(buf []byte) (int, error) {
		m, n, err := Next(buf)
		if n > 0 {
			err = r.Add(m)
		}
		return n, err
	})
	if len(encoded) > 8<<10 || len(r.Rows) < 60 || !r.Complete || !strings.Contains(string(encoded), "rows left out") {
		t.Errorf("%d bytes, %d rows", len(encoded), len(r.Rows))
	}
}

func TestArbitraryResultSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		junk := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "junk")
		var r ResultSet
		r.Add(Message{Type: rapid.SampledFrom([]byte("TDECZ")).Draw(t, "type"), Body: junk}) // must not panic
		StartupParameter(AppendStartup(nil, "u", string(junk)), "database")
	})
}

func TestStartupParameter(t *testing.T) {
	if got := StartupParameter(AppendStartup(nil, "u", "havenproxy"), "database"); got != "havenproxy" {
		t.Errorf("%q", got)
	}
	if got := StartupParameter(AppendStartup(nil, "u", "d"), "options"); got != "" {
		t.Errorf("%q", got)
	}
}

package command

import (
	"context"
	"database/sql"
	"testing"
	"time"

	_ "github.com/go-sql-driver/mysql"

	"havenproxy/internal/lab/fleet"
	"havenproxy/internal/lab/launch"
	"havenproxy/internal/lab/standin"
)

// A repeated kayit-yaz over MySQL, in text and prepared, on the same connection and on another: within the window its
// set drops it and answers as before; behind the window it runs again. The window is an hour or a millisecond, so that
// nothing depends on how quick the machine is.
func TestARepeatedWriteOverMySQL(t *testing.T) {
	for window, times := range map[time.Duration]int{time.Hour: 1, time.Millisecond: 4} {
		cfg := fleet.Config{Seed: 1, Groups: 1, Members: 3, Zones: launch.Zones(), Classes: launch.Classes(), DedupWindow: window, Audit: true}
		w, err := standin.New(cfg, nil, standin.MySQL(true))
		if err != nil {
			t.Fatal(err)
		}
		p, err := launch.Start(context.Background(), w, cfg, launch.Options{Binary: binary, MySQL: true})
		if err != nil {
			t.Fatal(err)
		}
		var values []string
		for range 2 {
			db, err := sql.Open("mysql", "client@tcp("+p.MySQL+")/core")
			if err != nil {
				t.Fatal(err)
			}
			db.SetMaxOpenConns(1)
			var text, prepared string
			if err := db.QueryRow("INSERT INTO state (uid, val) VALUES ('a', 'b') RETURNING val /* c=kayit-yaz,cluster=0,k=same,d=20000 */").Scan(&text); err != nil {
				t.Error(err)
			}
			if err := db.QueryRow("INSERT INTO state (uid, k) VALUES (?, ?) /* c=kayit-yaz,cluster=0,session=?1,k=?2,d=20000 */", "a", "same").Scan(&prepared); err != nil {
				t.Error(err)
			}
			values = append(values, text, prepared)
			db.Close()
		}
		w.With(func(_ time.Duration, f *fleet.Fleet) {
			if n := f.Applied(0, "same"); n != times {
				t.Errorf("window %v: applied %d times, want %d", window, n, times)
			}
		})
		if same := values[0] == values[1] && values[1] == values[2] && values[2] == values[3]; same != (times == 1) {
			t.Errorf("window %v: answers %v", window, values)
		}
		if err := p.Stop(10 * time.Second); err != nil {
			t.Error(err)
		}
		w.Close()
	}
}

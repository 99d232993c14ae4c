package healthcheck

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"havenproxy/internal/fixed"
	"havenproxy/internal/healthcheck"
	"havenproxy/internal/subset"
)

func TestMain(m *testing.M) { fixed.Main(m) }

const ms = time.Millisecond

var drawReport = rapid.Custom(func(t *rapid.T) healthcheck.Report {
	at := time.Duration(rapid.IntRange(70_000, 100_000).Draw(t, "at")) * ms
	r := healthcheck.Report{Origin: subset.ProxyID(rapid.Uint32().Draw(t, "origin")), Epoch: rapid.Uint32().Draw(t, "epoch"),
		Database: subset.DatabaseID(rapid.Uint32().Draw(t, "database")), ObservedAt: at,
		Status: healthcheck.Status(rapid.IntRange(0, 3).Draw(t, "status")), Role: subset.Role(rapid.IntRange(0, 2).Draw(t, "role"))}
	if rapid.Bool().Draw(t, "placed") {
		r.Position = at - time.Duration(rapid.IntRange(0, 60_000).Draw(t, "lag"))*ms
	}
	return r
})

// What is written is read as it was, by a process whose own clock began at another time.
func TestRoundTrip(t *testing.T) {
	sender := Clock{Unix: 1_800_000_000 * time.Second, Now: 100 * time.Second}
	receiver := Clock{Unix: sender.Unix + 3*ms, Now: 700*time.Second + 3*ms}
	rapid.Check(t, func(t *rapid.T) {
		m := healthcheck.Message{From: 7, Epoch: 9, Reports: rapid.SliceOfN(drawReport, 0, healthcheck.MaxReports).Draw(t, "reports")}
		buf := AppendMessage(nil, sender, m)
		if want := healthcheck.HeaderBytes + healthcheck.ReportBytes*len(m.Reports); len(buf) != want || len(buf) > 256 {
			t.Fatalf("%d bytes, %d were counted", len(buf), want)
		}
		got, err := ParseMessage(buf, receiver)
		for i := range got.Reports {
			shift(&got.Reports[i])
		}
		if len(m.Reports) == 0 {
			m.Reports = nil
		}
		if diff := cmp.Diff(m, got); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
		d := healthcheck.Digest{}
		for _, r := range m.Reports {
			d.Changes = append(d.Changes, healthcheck.Change{Kind: healthcheck.CheckerResumed, Report: r})
		}
		buf = AppendDigest(nil, sender, d)
		if want := healthcheck.HeaderBytes + healthcheck.ChangeBytes*len(d.Changes); len(buf) != want {
			t.Fatalf("%d bytes, %d were counted", len(buf), want)
		}
		back, err := ParseDigest(buf, receiver)
		for i := range back.Changes {
			shift(&back.Changes[i].Report)
		}
		if diff := cmp.Diff(d, back); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
	})
}

// shift brings times of the receiver's clock back to the sender's.
func shift(r *healthcheck.Report) {
	r.ObservedAt -= 600 * time.Second
	if r.Position > 0 {
		r.Position -= 600 * time.Second
	}
}

// Whatever comes is read, or is an error.
func FuzzParse(f *testing.F) {
	f.Add(AppendMessage(nil, Clock{}, healthcheck.Message{Reports: []healthcheck.Report{{}}}))
	f.Add(AppendDigest(nil, Clock{}, healthcheck.Digest{Changes: []healthcheck.Change{{}}}))
	f.Add([]byte{2, 1, 0})
	f.Fuzz(func(t *testing.T, buf []byte) {
		if _, err := ParseMessage(buf, Clock{}); err != nil && !errors.Is(err, ErrMessage) {
			t.Error(err)
		}
		if _, err := ParseDigest(buf, Clock{}); err != nil && !errors.Is(err, ErrMessage) {
			t.Error(err)
		}
	})
}

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
	if rapid.Bool().Draw(t, "has position") {
		r.Position = at - time.Duration(rapid.IntRange(0, 60_000).Draw(t, "lag"))*ms
	}
	return r
})

// A receiver decodes what the sender encoded, with times on its own clock, which started at another time.
func TestRoundTrip(t *testing.T) {
	sender := Clock{Unix: 1_800_000_000 * time.Second, Now: 100 * time.Second}
	receiver := Clock{Unix: sender.Unix + 3*ms, Now: 700*time.Second + 3*ms}
	rapid.Check(t, func(t *rapid.T) {
		message := healthcheck.Message{From: 7, Epoch: 9, Reports: rapid.SliceOfN(drawReport, 0, healthcheck.MaxReports).Draw(t, "reports")}
		buf := AppendMessage(nil, sender, message)
		if want := healthcheck.HeaderBytes + healthcheck.ReportBytes*len(message.Reports); len(buf) != want || len(buf) > 256 {
			t.Fatalf("%d bytes, want %d", len(buf), want)
		}
		got, err := ParseMessage(buf, receiver)
		for i := range got.Reports {
			toSenderClock(&got.Reports[i])
		}
		if len(message.Reports) == 0 {
			message.Reports = nil
		}
		if diff := cmp.Diff(message, got); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
		digest := healthcheck.Digest{}
		for _, r := range message.Reports {
			digest.Changes = append(digest.Changes, healthcheck.Change{Kind: healthcheck.CheckerResumed, Report: r})
		}
		buf = AppendDigest(nil, sender, digest)
		if want := healthcheck.HeaderBytes + healthcheck.ChangeBytes*len(digest.Changes); len(buf) != want {
			t.Fatalf("%d bytes, want %d", len(buf), want)
		}
		gotDigest, err := ParseDigest(buf, receiver)
		for i := range gotDigest.Changes {
			toSenderClock(&gotDigest.Changes[i].Report)
		}
		if diff := cmp.Diff(digest, gotDigest); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
	})
}

// toSenderClock converts a report's times from the receiver's clock to the sender's.
func toSenderClock(r *healthcheck.Report) {
	r.ObservedAt -= 600 * time.Second
	if r.Position > 0 {
		r.Position -= 600 * time.Second
	}
}

// Any input is decoded or gives ErrMessage.
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

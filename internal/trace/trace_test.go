package trace

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var classes = []string{"stok-bakis", "kayit-yaz"}

// memoryFile is a file in memory. With unblock set, each write waits for that channel.
type memoryFile struct {
	bytes.Buffer
	unblock chan struct{}
	err     error
	closed  bool
}

func (s *memoryFile) Write(b []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
	}
	if s.err != nil {
		return 0, s.err
	}
	return s.Buffer.Write(b)
}

func (s *memoryFile) Close() error { s.closed = true; return nil }

const began = 1_700_000_000 * time.Second

// writeTrace returns a trace of the given requests.
func writeTrace(cfg Config, list []Record) *memoryFile {
	out := &memoryFile{}
	w := NewWriter(cfg, out, classes, began)
	for _, r := range list {
		r.At += began
		w.Add(r)
	}
	w.Close()
	return out
}

func makeRecords(n int) (list []Record) {
	for i := range n {
		list = append(list, Record{At: time.Duration(i) * 3 * time.Millisecond, Class: i % 2, Group: i % 5, Session: uint64(i % 70), Retry: i%9 == 0,
			Write: i%2 == 1, Wait: time.Duration(300+i%7) * time.Millisecond, Size: i % 500})
	}
	return list
}

func TestRoundTrip(t *testing.T) {
	salt := Salt("a secret of 16 b")
	rapid.Check(t, func(t *rapid.T) {
		var list, want []Record
		at := time.Duration(0)
		for range rapid.IntRange(0, 300).Draw(t, "records") {
			at += time.Duration(rapid.IntRange(-50_000, 900_000).Draw(t, "gap")) * time.Microsecond // clocks may be set back
			r := Record{At: at, Class: rapid.IntRange(0, 1).Draw(t, "class"), Group: rapid.IntRange(0, 1<<20).Draw(t, "group"), Session: rapid.Uint64().Draw(t, "session"),
				Retry: rapid.Bool().Draw(t, "retry"), Write: rapid.Bool().Draw(t, "write"), Wait: time.Duration(rapid.IntRange(0, 9999).Draw(t, "wait")) * time.Millisecond,
				Size: rapid.IntRange(0, 1<<16).Draw(t, "size")}
			list = append(list, r)
			r.Session = salt.Hash(r.Session)
			want = append(want, r)
		}
		var got []Record
		r, err := NewReader(&writeTrace(Config{Salt: salt}, list).Buffer)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.ForEach(func(x Record) error { got = append(got, x); return nil }); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
		if r.StartedAt != began || r.Sample != 1 || !cmp.Equal(r.Classes, classes) || r.SaltID != salt.id() {
			t.Fatalf("%+v", r.Header)
		}
	})
}

// A trace that is truncated at any byte returns its complete blocks and reports the truncation; it never returns a
// record that was not written.
func TestTruncation(t *testing.T) {
	whole := writeTrace(Config{}, makeRecords(2000)).Bytes()
	all, err := ReadAll(bytes.NewReader(whole))
	if err != nil || len(all.Records) != 2000 || all.Truncated || all.BackwardSteps != 0 {
		t.Fatalf("%v, %d records", err, len(all.Records))
	}
	for n := 0; n < len(whole); n += 7 {
		part, err := ReadAll(bytes.NewReader(whole[:n]))
		if err != nil {
			if part != nil && len(part.Records) > 0 {
				t.Fatalf("truncated at %d: %v after %d records", n, err, len(part.Records))
			}
			if n > 200 || !errors.Is(err, ErrNotTrace) && !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) && err.Error() != "header: EOF" {
				t.Fatalf("truncated at %d: %v", n, err)
			}
			continue
		}
		for i, r := range part.Records {
			if r != all.Records[i] {
				t.Fatalf("truncated at %d: record %d is %+v, was %+v", n, i, r, all.Records[i])
			}
		}
	}
	if part, err := ReadAll(bytes.NewReader(whole[:len(whole)-1])); err != nil || !part.Truncated || len(part.Records) == 0 || len(part.Records) == 2000 {
		t.Errorf("%v, %+v", err, part)
	}
}

// Any changed byte is noticed and costs its own block at most.
func TestCorruptionDetected(t *testing.T) {
	whole := writeTrace(Config{Salt: Salt("a secret of 16 b")}, makeRecords(2000)).Bytes()
	all, _ := ReadAll(bytes.NewReader(whole))
	rapid.Check(t, func(t *rapid.T) {
		b := bytes.Clone(whole)
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		part, err := ReadAll(bytes.NewReader(b))
		if err == nil && part.CorruptBlocks == 0 && !part.Truncated {
			t.Fatalf("byte %d changed, but not detected", at)
		}
		if err == nil && len(part.Records) >= len(all.Records) {
			t.Fatalf("byte %d changed: %d records", at, len(part.Records))
		}
	})
}

func TestOtherVersionsAndFormats(t *testing.T) {
	b := writeTrace(Config{}, makeRecords(10)).Bytes()
	b[7] = 9
	if _, err := ReadAll(bytes.NewReader(b)); !errors.Is(err, ErrVersion) || err.Error() != "a trace of another version: 9, this program reads 1" {
		t.Error(err)
	}
	if _, err := ReadAll(bytes.NewReader([]byte("#!/bin/sh\nexit 0\n"))); !errors.Is(err, ErrNotTrace) {
		t.Error(err)
	}
	// A class that the header does not name, and a flag that this version does not know.
	for want, r := range map[error]Record{ErrCorrupt: {Class: 2}} {
		e := encoder{}
		e.add(&r)
		h := Header{Classes: classes}
		if _, err := ReadAll(bytes.NewReader(append(h.append(nil), e.takeBlock()...))); !errors.Is(err, want) {
			t.Errorf("%+v: %v", r, err)
		}
	}
	h := Header{Classes: classes}
	b = appendBlock(h.append(nil), []byte{0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 1 << 5, 0, 0})
	if _, err := ReadAll(bytes.NewReader(b)); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
	// A block with a length of 1 GiB is rejected.
	b = append(h.append(nil), 0, 0, 0, 64, 1, 2, 3, 4)
	if _, err := ReadAll(bytes.NewReader(b)); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
}

func TestBackwardSteps(t *testing.T) {
	got, err := ReadAll(&writeTrace(Config{}, []Record{{At: time.Second}, {At: 400 * time.Millisecond}, {At: 2 * time.Second}}).Buffer)
	if err != nil || got.BackwardSteps != 1 || len(got.Records) != 3 || got.Records[1].At != time.Second || got.Records[2].At != 2*time.Second {
		t.Errorf("%v, %+v", err, got)
	}
}

// The sample consists of whole sessions, the file stops at its maximum size, and the salt hides sessions and is not
// in the file.
func TestSampleSizeAndSalt(t *testing.T) {
	var list []Record
	for i := range 20000 {
		list = append(list, Record{At: time.Duration(i) * time.Microsecond, Session: uint64(i % 1000)})
	}
	salt := Salt("a secret of 16 b")
	out := writeTrace(Config{Sample: 0.2, Salt: salt}, list)
	if bytes.Contains(out.Bytes(), salt) {
		t.Error("the salt is in the file")
	}
	got, err := ReadAll(&out.Buffer)
	if err != nil {
		t.Fatal(err)
	}
	per := map[uint64]int{}
	for _, r := range got.Records {
		per[r.Session]++
	}
	for s, n := range per {
		if n != 20 {
			t.Fatalf("a sampled session has %d of its 20 requests", n)
		}
		if s < 1000 {
			t.Error("a session is not hashed")
		}
	}
	if len(per) < 150 || len(per) > 250 || got.Sample != 0.2 {
		t.Errorf("%d of 1000 sessions, sample %v", len(per), got.Sample)
	}
	if a, b := Salt("a secret of 16 b").Hash(7), Salt("another of 16 b!").Hash(7); a == b {
		t.Error("the salt does not change the hash")
	}

	small := &memoryFile{}
	w := NewWriter(Config{MaxBytes: 40 << 10}, small, classes, began)
	for i := range 40000 {
		w.Add(Record{At: began + time.Duration(i)*time.Millisecond, Session: uint64(i)})
	}
	w.Close()
	if small.Len() > 40<<10 || small.Len() < 30<<10 || !w.Full() || w.Recorded+w.Dropped != 40000 || !small.closed {
		t.Errorf("%d bytes, full %v, kept %d, dropped %d", small.Len(), w.Full(), w.Recorded, w.Dropped)
	}
	if got, err := ReadAll(&small.Buffer); err != nil || got.Truncated || uint64(len(got.Records)) != w.Recorded {
		t.Errorf("%v, %d records of %d", err, len(got.Records), w.Recorded)
	}
}

// A stalled disk costs records but does not delay requests; a failing one is reported by Close.
func TestSlowOrFailingDisk(t *testing.T) {
	slow := &memoryFile{unblock: make(chan struct{})}
	w := NewWriter(Config{}, slow, classes, began)
	for i := range 400000 { // about 6 MB, far more than may wait
		w.Add(Record{At: began + time.Duration(i)*time.Microsecond, Session: uint64(i)})
	}
	if w.Dropped == 0 || w.Recorded == 0 || w.Recorded > 2*maxWaitingBytes/10 {
		t.Errorf("kept %d, dropped %d", w.Recorded, w.Dropped)
	}
	close(slow.unblock)
	if err := w.Close(); err != nil || w.Recorded+w.Dropped != 400000 {
		t.Errorf("%v: kept %d, dropped %d", err, w.Recorded, w.Dropped)
	}
	broken := &memoryFile{err: errors.New("no space left")}
	w = NewWriter(Config{}, broken, classes, began)
	w.Add(Record{At: began})
	if err := w.Close(); err == nil || err.Error() != "no space left" || !broken.closed {
		t.Error(err)
	}
}

func FuzzReadAll(f *testing.F) {
	f.Add(writeTrace(Config{}, makeRecords(50)).Bytes())
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := ReadAll(bytes.NewReader(b))
		if err == nil && len(got.Records) > len(b) {
			t.Fatal(fmt.Errorf("%d records from %d bytes", len(got.Records), len(b)))
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	out := &discard{}
	w := NewWriter(Config{MaxBytes: 1 << 40}, out, classes, began)
	b.ReportAllocs()
	for i := range b.N {
		w.Add(Record{At: began + time.Duration(i)*20*time.Microsecond, Session: uint64(i * i % 5000), Wait: time.Second, Size: 120})
	}
	w.Close()
	b.ReportMetric(float64(out.n)/float64(w.Recorded), "bytes/record")
}

type discard struct{ n int }

func (d *discard) Write(b []byte) (int, error) { d.n += len(b); return len(b), nil }
func (*discard) Close() error                  { return nil }

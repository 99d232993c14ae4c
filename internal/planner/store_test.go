package planner

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

func writeTestLog(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "log")
	store, fresh, err := openStore(path, "planner 1 of [1]")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	term, vote, commit := uint64(3), uint64(1), uint64(2)
	if err := store.save(&raft.Ready{HardState: &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}, Entries: []*pb.Entry{entry(1, 2, "one"), entry(2, 2, "two"), entry(3, 2, "three")}}); err != nil {
		t.Fatal(err)
	}
	if err := store.save(&raft.Ready{Entries: []*pb.Entry{entry(2, 3, "another two")}}); err != nil { // replaces all entries from index 2 on
		t.Fatal(err)
	}
	store.close()
	return path
}

func TestStoreReload(t *testing.T) {
	store, fresh, err := openStore(writeTestLog(t), "planner 1")
	if err != nil || fresh {
		t.Fatal(fresh, err)
	}
	defer store.close()
	hard, _, _ := store.memory.InitialState()
	last, _ := store.memory.LastIndex()
	if hard.GetTerm() != 3 || hard.GetVote() != 1 || last != 2 {
		t.Fatalf("term %d, vote %d, %d entries", hard.GetTerm(), hard.GetVote(), last)
	}
	entries, err := store.memory.Entries(1, 3, 1<<20)
	if err != nil || string(entries[0].GetData()) != "one" || string(entries[1].GetData()) != "another two" {
		t.Fatal(entries, err)
	}
	if err := store.compact(2, &pb.ConfState{Voters: []uint64{1}}, []byte("state"), 1); err != nil {
		t.Fatal(err)
	}
	if first, _ := store.memory.FirstIndex(); first != 2 {
		t.Errorf("the first index is %d", first)
	}
}

// A flipped bit in an entry is detected: a planner with a corrupt vote or entry would break what it has promised to others.
func TestStoreDetectsBitFlip(t *testing.T) {
	path := writeTestLog(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := strings.Index(string(text), "another two")
	if at < 0 {
		t.Fatal("the entry is not in the file")
	}
	for at >= 0 { // the file may also hold an earlier copy of the page
		text[at] ^= 4
		next := strings.Index(string(text[at+1:]), "another two")
		if next < 0 {
			break
		}
		at += 1 + next
	}
	os.WriteFile(path, text, 0o600)
	if _, _, err := openStore(path, "planner 1"); !errors.Is(err, errCorrupt) || !strings.Contains(err.Error(), "entry 2") {
		t.Errorf("%v", err)
	}
}

func TestStoreBelongsToOnePlanner(t *testing.T) {
	path := writeTestLog(t)
	if _, _, err := openStore(path, "planner 2"); err == nil || !strings.Contains(err.Error(), "it belongs to planner 1") {
		t.Errorf("%v", err)
	}
}

func TestParsePeers(t *testing.T) {
	if p, err := ParsePeers("1=a:1, 2=b:2"); err != nil || p[2] != "b:2" {
		t.Error(p, err)
	}
	for _, bad := range []string{"", "a:1", "0=a:1", "1=a:1,1=b:1", "1="} {
		if _, err := ParsePeers(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

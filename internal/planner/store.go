package planner

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// store keeps the log on disk: one file of bbolt's, written in whole transactions, so that a torn last write is as if it had not been
// begun. Each value bears a sum (xxhash), so that a disk that gives back other bits than it was given is noticed: a planner that can't read
// what it has promised must not take part.
type store struct {
	db     *bolt.DB
	memory *raft.MemoryStorage // the same, as the consensus reads it
	diskID uint64              // drawn when the log was begun
}

var (
	logBucket  = []byte("log")  // entries by their index, 8 bytes big-endian
	metaBucket = []byte("meta") // hard, snap
	hardKey    = []byte("hard")
	snapKey    = []byte("snap")
	ownerKey   = []byte("who") // this planner's number, so that a disk isn't taken for another's
	diskKey    = []byte("disk")
	disksKey   = []byte("disks/") // and a planner's number: its disk, as it said
)

// errDamaged tells of bits that are not those that were written.
var errCorrupt = errors.New("the disk gives back other bits than it was given")

// openWait is how long another process may hold the file.
const openTimeout = time.Second

// openStore opens the log of a planner, or begins one. fresh tells that there was none.
func openStore(path, who string) (st *store, fresh bool, err error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, false, fmt.Errorf("log %s: %w", path, err)
	}
	st = &store{db: db, memory: raft.NewMemoryStorage()}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{logBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		if was := meta.Get(ownerKey); was == nil {
			fresh = true
			if err := meta.Put(ownerKey, []byte(who)); err != nil {
				return err
			}
		} else if own, _, _ := strings.Cut(string(was), " of "); own != who { // earlier versions kept all planners' numbers too
			return fmt.Errorf("it is that of %s, and this is %s", own, who)
		}
		if b := meta.Get(diskKey); len(b) == 8 {
			st.diskID = binary.BigEndian.Uint64(b)
			return nil
		}
		st.diskID = rand.Uint64() | 1
		return meta.Put(diskKey, binary.BigEndian.AppendUint64(nil, st.diskID))
	})
	if err == nil {
		err = st.load()
	}
	if err != nil {
		db.Close()
		return nil, false, fmt.Errorf("log %s: %w", path, err)
	}
	return st, fresh, nil
}

// seal puts the sum before a value, open takes it off.
func addChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b)), b...)
}

func verifyChecksum(b []byte, m proto.Message) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return errCorrupt
	}
	return proto.Unmarshal(b[8:], m)
}

func (s *store) load() error {
	return s.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if b := meta.Get(snapKey); b != nil {
			snap := &pb.Snapshot{}
			if err := verifyChecksum(b, snap); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			if err := s.memory.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if b := meta.Get(hardKey); b != nil {
			hard := &pb.HardState{}
			if err := verifyChecksum(b, hard); err != nil {
				return fmt.Errorf("term and vote: %w", err)
			}
			s.memory.SetHardState(hard)
		}
		var entries []*pb.Entry
		c := tx.Bucket(logBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			e := &pb.Entry{}
			if err := verifyChecksum(v, e); err != nil {
				return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			entries = append(entries, e)
		}
		return s.memory.Append(entries)
	})
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// save writes what the consensus wants kept, in one transaction, and returns when the disk has it.
func (s *store) save(ready *raft.Ready) error {
	if raft.IsEmptyHardState(ready.HardState) && len(ready.Entries) == 0 && raft.IsEmptySnap(ready.Snapshot) {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		put := func(b *bolt.Bucket, key []byte, m proto.Message) error {
			text, err := proto.Marshal(m)
			if err == nil {
				err = b.Put(key, addChecksum(text))
			}
			return err
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := put(meta, snapKey, ready.Snapshot); err != nil {
				return err
			}
			if err := deleteAll(log); err != nil {
				return err
			}
		}
		if len(ready.Entries) > 0 { // what stands behind the first of them is replaced
			c := log.Cursor()
			for k, _ := c.Seek(indexKey(ready.Entries[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range ready.Entries {
			if err := put(log, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(ready.HardState) {
			return put(meta, hardKey, ready.HardState)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := s.memory.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		s.memory.SetHardState(ready.HardState)
	}
	return s.memory.Append(ready.Entries)
}

// begun tells whether the log holds anything.
func (s *store) hasSnapshot() bool {
	snap, err := s.memory.Snapshot()
	return err == nil && !raft.IsEmptySnap(snap)
}

func diskKeyOf(planner uint64) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(disksKey), planner)
}

// known gives the disk that another planner has said it has; 0 = it has never been heard of.
func (s *store) peerDisk(planner uint64) (disk uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(metaBucket).Get(diskKeyOf(planner)); len(b) == 8 {
			disk = binary.BigEndian.Uint64(b)
		}
		return nil
	})
	return disk, err
}

// knows notes the disk of another planner where none is noted, and gives the one that is.
func (s *store) recordPeerDisk(planner, disk uint64) (uint64, error) {
	if was, err := s.peerDisk(planner); err != nil || was != 0 {
		return was, err
	}
	return disk, s.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(metaBucket).Put(diskKeyOf(planner), binary.BigEndian.AppendUint64(nil, disk))
	})
}

func deleteAll(b *bolt.Bucket) error {
	c := b.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// shorten keeps the state as of an index, and drops the entries up to it but for the last few, which others may still want.
func (s *store) compact(index uint64, conf *pb.ConfState, state []byte, keep uint64) error {
	snap, err := s.memory.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	text, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	first := index - min(keep, index)
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(snapKey, addChecksum(text)); err != nil {
			return err
		}
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= first; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if at, _ := s.memory.FirstIndex(); first >= at {
		return s.memory.Compact(first)
	}
	return nil
}

func (s *store) close() error { return s.db.Close() }

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

// store keeps the log on disk in one bbolt file. It is written in transactions, so that a torn write has no effect. Each value has a
// checksum (xxhash), so that corruption by the disk is detected: a planner that can't read what it has promised must not take part in the
// consensus.
type store struct {
	db     *bolt.DB
	memory *raft.MemoryStorage // the same data in memory, read by raft
	diskID uint64              // random, chosen when the log was created
}

var (
	logBucket      = []byte("log")  // log entries; the key is the index, 8 bytes big-endian
	metaBucket     = []byte("meta") // values under the keys below
	hardKey        = []byte("hard")
	snapKey        = []byte("snap")
	ownerKey       = []byte("who") // this planner's number, so that the log of another planner is not opened by mistake
	diskKey        = []byte("disk")
	peerDiskPrefix = []byte("disks/") // prefix of a planner's number; the value is the disk ID that it announced
)

// errCorrupt is returned if a checksum doesn't match.
var errCorrupt = errors.New("the disk gives back other bits than it was given")

// openTimeout bounds the wait for another process that has locked the file.
const openTimeout = time.Second

// openStore opens or creates the log of a planner. fresh is true if it was created. It is an error if the log belongs to another owner.
func openStore(path, owner string) (st *store, fresh bool, err error) {
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
		if stored := meta.Get(ownerKey); stored == nil {
			fresh = true
			if err := meta.Put(ownerKey, []byte(owner)); err != nil {
				return err
			}
		} else if storedOwner, _, _ := strings.Cut(string(stored), " of "); storedOwner != owner { // earlier versions stored the numbers of all planners too
			return fmt.Errorf("it belongs to %s, and this is %s", storedOwner, owner)
		}
		if id := meta.Get(diskKey); len(id) == 8 {
			st.diskID = binary.BigEndian.Uint64(id)
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

// addChecksum returns a value with its checksum prepended.
func addChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(b)), b...)
}

// verifyChecksum checks the checksum of a value and decodes the value into m. It returns errCorrupt if the checksum doesn't match.
func verifyChecksum(b []byte, m proto.Message) error {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return errCorrupt
	}
	return proto.Unmarshal(b[8:], m)
}

// load reads the log into memory.
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
			entry := &pb.Entry{}
			if err := verifyChecksum(v, entry); err != nil {
				return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			entries = append(entries, entry)
		}
		return s.memory.Append(entries)
	})
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// save writes the state, entries and snapshot of a Ready in one transaction. It returns once they are on disk.
func (s *store) save(ready *raft.Ready) error {
	if raft.IsEmptyHardState(ready.HardState) && len(ready.Entries) == 0 && raft.IsEmptySnap(ready.Snapshot) {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		put := func(b *bolt.Bucket, key []byte, m proto.Message) error {
			data, err := proto.Marshal(m)
			if err == nil {
				err = b.Put(key, addChecksum(data))
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
		if len(ready.Entries) > 0 { // entries from the first new index on are replaced
			c := log.Cursor()
			for k, _ := c.Seek(indexKey(ready.Entries[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, entry := range ready.Entries {
			if err := put(log, indexKey(entry.GetIndex()), entry); err != nil {
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

// hasSnapshot reports whether the log holds a snapshot, that is, anything at all.
func (s *store) hasSnapshot() bool {
	snap, err := s.memory.Snapshot()
	return err == nil && !raft.IsEmptySnap(snap)
}

func peerDiskKey(planner uint64) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(peerDiskPrefix), planner)
}

// peerDisk returns the disk ID that another planner announced first; 0 = it has never announced one.
func (s *store) peerDisk(planner uint64) (disk uint64, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(metaBucket).Get(peerDiskKey(planner)); len(b) == 8 {
			disk = binary.BigEndian.Uint64(b)
		}
		return nil
	})
	return disk, err
}

// recordPeerDisk records the disk ID of another planner unless one is recorded already. It returns the recorded one.
func (s *store) recordPeerDisk(planner, disk uint64) (uint64, error) {
	if recorded, err := s.peerDisk(planner); err != nil || recorded != 0 {
		return recorded, err
	}
	return disk, s.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(metaBucket).Put(peerDiskKey(planner), binary.BigEndian.AppendUint64(nil, disk))
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

// compact stores the state as of an index as a snapshot and deletes the entries up to it, except the last keep ones, which followers may
// still need.
func (s *store) compact(index uint64, conf *pb.ConfState, state []byte, keep uint64) error {
	snap, err := s.memory.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	first := index - min(keep, index)
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(snapKey, addChecksum(data)); err != nil {
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
	if current, _ := s.memory.FirstIndex(); first >= current {
		return s.memory.Compact(first)
	}
	return nil
}

func (s *store) close() error { return s.db.Close() }

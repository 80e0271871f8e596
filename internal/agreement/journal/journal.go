// Package journal is the write-ahead log of a keeper: it stores the Raft log in
// segments of checksummed frames, together with the newest snapshot.
package journal

import (
	"fmt"
	"io/fs"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/disk"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/kernel/errwrap"
)

// ErrCorrupted means that synced data was lost or altered on disk. The keeper
// must discard the journal and join as a new member, since it may have
// forgotten a vote.
var ErrCorrupted = errors.New("journal is corrupted")

const (
	segmentPrefix         = "log-"
	segmentSuffix         = ".wal"
	snapshotPrefix        = "snapshot-"
	snapshotSuffix        = ".cbor"
	temporarySnapshotName = "snapshot.tmp"
	indexDigits           = 20
	// segmentBytes is the size from which a new segment is started.
	segmentBytes = 8 << 20
)

// Dir is the directory of a journal. disk.Dir implements it.
type Dir interface {
	Append(name string) (disk.File, error)
	Read(name string) ([]byte, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	Sync() error
}

// batch is the payload of one frame.
type batch struct {
	HardState *record.HardState `cbor:",omitempty"`
	// Truncate is the first index to drop before Entries are appended, or zero.
	Truncate uint64         `cbor:",omitempty"`
	Entries  []record.Entry `cbor:",omitempty"`
}

// segment is one file of frames.
type segment struct {
	name string
	// firstIndex is the index of the first entry that the segment may hold.
	firstIndex uint64
}

// Journal is the durable state of one Raft member. It is not safe for
// concurrent use.
type Journal struct {
	dir       Dir
	segments  []segment
	file      disk.File
	size      int
	hardState record.HardState
	snapshot  *record.Snapshot
	entries   []record.Entry
	// lastIndex is the index of the newest stored entry.
	lastIndex uint64
	// tornBytes is the size of the torn tail that Open truncated.
	tornBytes int
	// torn means that the open segment may hold an incomplete frame from size on,
	// since a write failed.
	torn bool
	// replaced are the indexes of the snapshots to remove.
	replaced []uint64
}

// Open reads the journal in dir. It truncates a torn tail and returns
// ErrCorrupted if data before the tail is invalid or missing.
func Open(dir Dir) (*Journal, error) {
	j := &Journal{dir: dir}
	names, err := dir.List()
	if err != nil {
		return nil, errors.Wrap(err, "list journal directory")
	}
	if err := j.loadSnapshot(names); err != nil {
		return nil, err
	}
	if err := j.loadSegments(names); err != nil {
		return nil, err
	}
	return j, nil
}

// State returns the state that Open read: the hard state, the snapshot or nil,
// and the entries after the snapshot.
func (j *Journal) State() (record.HardState, *record.Snapshot, []record.Entry) {
	return j.hardState, j.snapshot, j.entries
}

// TornBytes returns the size in bytes of the torn tail that Open truncated.
func (j *Journal) TornBytes() int { return j.tornBytes }

// Save writes and syncs one batch: the hard state unless it is nil, the
// truncation from an index on unless it is zero, and then the entries. After an
// error the batch is not stored, and the same call may be made again.
func (j *Journal) Save(hard *record.HardState, truncate uint64, entries []record.Entry) error {
	if hard == nil && truncate == 0 && len(entries) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(batch{HardState: hard, Truncate: truncate, Entries: entries})
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	if hard != nil {
		j.hardState = *hard
	}
	if err := j.rotate(); err != nil {
		return err
	}
	j.updateLastIndex(truncate, entries)
	return j.writeFrame(payload)
}

// SaveSnapshot writes and syncs a snapshot, then removes the segments that it
// covers. reset drops all entries, as for a snapshot that a leader sent. After an
// error the same call may be made again.
func (j *Journal) SaveSnapshot(s *record.Snapshot, reset bool) error {
	payload, err := cbor.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if err := j.writeSnapshot(s.Index, encodeFrame(payload)); err != nil {
		return err
	}
	if j.snapshot != nil && j.snapshot.Index != s.Index {
		j.replaced = append(j.replaced, j.snapshot.Index)
	}
	j.snapshot = s
	truncate := uint64(0)
	if reset {
		truncate = 1
		j.lastIndex = s.Index
	}
	if err := j.startSegment(); err != nil {
		return err
	}
	hard := j.hardState
	if err := j.Save(&hard, truncate, nil); err != nil {
		return err
	}
	j.lastIndex = max(j.lastIndex, s.Index)
	return j.removeCoveredFiles()
}

// Close closes the open segment.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) writeSnapshot(index uint64, frame []byte) error {
	// An earlier attempt may have left a part of it.
	_ = j.dir.Remove(temporarySnapshotName)
	f, err := j.dir.Append(temporarySnapshotName)
	if err != nil {
		return errors.Wrap(err, "create snapshot")
	}
	if _, err := f.Write(frame); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write snapshot")
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "sync snapshot")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close snapshot")
	}
	if err := j.dir.Rename(temporarySnapshotName, snapshotName(index)); err != nil {
		return errors.Wrap(err, "rename snapshot")
	}
	return errwrap.Wrap(j.dir.Sync(), "sync journal directory")
}

// removeCoveredFiles removes the old snapshot and the segments whose entries
// the new one covers: those followed by a segment that starts at or before the
// index after the snapshot.
func (j *Journal) removeCoveredFiles() error {
	for len(j.segments) > 1 && j.segments[1].firstIndex <= j.snapshot.Index+1 {
		if err := j.dir.Remove(j.segments[0].name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return errors.Wrap(err, "remove segment")
		}
		j.segments = j.segments[1:]
	}
	for len(j.replaced) > 0 {
		if err := j.dir.Remove(snapshotName(j.replaced[0])); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return errors.Wrap(err, "remove snapshot")
		}
		j.replaced = j.replaced[1:]
	}
	return errwrap.Wrap(j.dir.Sync(), "sync journal directory")
}

// rotate makes the open segment ready for a frame, or starts a new one.
func (j *Journal) rotate() error {
	if j.file == nil || j.size >= segmentBytes {
		return j.startSegment()
	}
	return j.dropTorn()
}

// dropTorn removes what a failed write has left in the open segment. A frame behind
// an incomplete one would not be read again.
func (j *Journal) dropTorn() error {
	if !j.torn {
		return nil
	}
	name := j.segments[len(j.segments)-1].name
	if err := j.dir.Truncate(name, int64(j.size)); err != nil {
		return errors.Wrap(err, "truncate segment")
	}
	j.torn = false
	return nil
}

func (j *Journal) updateLastIndex(truncate uint64, entries []record.Entry) {
	if truncate > 0 {
		j.lastIndex = min(j.lastIndex, truncate-1)
	}
	if len(entries) > 0 {
		j.lastIndex = entries[len(entries)-1].Index
	}
}

// startSegment creates a new segment. The names of segments sort by first index
// and, if that is equal, by a sequence number.
func (j *Journal) startSegment() error {
	first := j.lastIndex + 1
	if j.file != nil {
		if err := j.dropTorn(); err != nil {
			return err
		}
		err := j.file.Close()
		j.file = nil
		if err != nil {
			return errors.Wrap(err, "close segment")
		}
	}
	sequence := 0
	if n := len(j.segments); n > 0 {
		last := j.segments[n-1]
		first = max(first, last.firstIndex)
		if last.firstIndex == first {
			sequence = sequenceOf(last.name) + 1
		}
	}
	name := segmentName(first, sequence)
	f, err := j.dir.Append(name)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if err := j.dir.Sync(); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "sync journal directory")
	}
	j.file = f
	j.size = 0
	j.segments = append(j.segments, segment{name: name, firstIndex: first})
	return nil
}

func (j *Journal) writeFrame(payload []byte) error {
	frame := encodeFrame(payload)
	j.torn = true
	if _, err := j.file.Write(frame); err != nil {
		return errors.Wrap(err, "write journal")
	}
	// After a failed sync the data may be lost although a later sync succeeds, so it
	// is written again.
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "sync journal")
	}
	j.torn = false
	j.size += len(frame)
	return nil
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%0*d%s", snapshotPrefix, indexDigits, index, snapshotSuffix)
}

func segmentName(first uint64, sequence int) string {
	return fmt.Sprintf("%s%0*d-%06d%s", segmentPrefix, indexDigits, first, sequence, segmentSuffix)
}

func sequenceOf(name string) int {
	parts := strings.Split(strings.TrimSuffix(name, segmentSuffix), "-")
	n, _ := strconv.Atoi(parts[len(parts)-1])
	return n
}

func firstIndexOf(name string) (uint64, error) {
	parts := strings.Split(name, "-")
	return strconv.ParseUint(parts[1], 10, 64)
}

package journal

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/kernel/errwrap"
)

// loadSnapshot reads the newest snapshot. A snapshot gets its name only after
// its content is synced, so an invalid one means corruption.
func (j *Journal) loadSnapshot(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || !strings.HasSuffix(name, snapshotSuffix) {
			continue
		}
		data, err := j.dir.Read(name)
		if err != nil {
			return errors.Wrapf(err, "read %s", name)
		}
		payload, _, ok := decodeFrame(data)
		if !ok {
			return errors.Wrapf(ErrCorrupted, "%s", name)
		}
		var s record.Snapshot
		if err := cbor.Unmarshal(payload, &s); err != nil {
			return errors.Wrapf(ErrCorrupted, "%s: %v", name, err)
		}
		j.snapshot = &s
	}
	return nil
}

func (j *Journal) loadSegments(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		first, err := firstIndexOf(name)
		if err != nil {
			return errors.Wrapf(ErrCorrupted, "%s: invalid file name", name)
		}
		j.segments = append(j.segments, segment{name: name, firstIndex: first})
	}
	for i, s := range j.segments {
		if err := j.loadSegment(s, i == len(j.segments)-1); err != nil {
			return err
		}
	}
	j.dropCoveredEntries()
	j.lastIndex = uint64(len(j.entries))
	if j.snapshot != nil {
		j.lastIndex += j.snapshot.Index
	}
	return j.checkContiguous()
}

func (j *Journal) loadSegment(s segment, last bool) error {
	data, err := j.dir.Read(s.name)
	if err != nil {
		return errors.Wrapf(err, "read %s", s.name)
	}
	offset := 0
	for offset < len(data) {
		payload, size, ok := decodeFrame(data[offset:])
		if !ok {
			return j.truncateTornTail(s, data, offset, last)
		}
		if err := j.replay(payload); err != nil {
			return errors.Wrapf(err, "%s at byte %d", s.name, offset)
		}
		offset += size
	}
	return nil
}

// truncateTornTail drops a torn write. It returns ErrCorrupted unless the
// invalid data is at the end of the last segment, the only place where a write
// can be torn.
func (j *Journal) truncateTornTail(s segment, data []byte, offset int, last bool) error {
	if !last || hasFrame(data[offset:]) {
		return errors.Wrapf(ErrCorrupted, "%s at byte %d", s.name, offset)
	}
	j.tornBytes = len(data) - offset
	return errwrap.Wrap(j.dir.Truncate(s.name, int64(offset)), "truncate "+s.name)
}

func (j *Journal) replay(payload []byte) error {
	var b batch
	if err := cbor.Unmarshal(payload, &b); err != nil {
		return errors.Wrap(ErrCorrupted, err.Error())
	}
	if b.HardState != nil {
		j.hardState = *b.HardState
	}
	if b.Truncate > 0 {
		j.truncate(b.Truncate)
	}
	j.entries = append(j.entries, b.Entries...)
	return nil
}

func (j *Journal) truncate(index uint64) {
	for len(j.entries) > 0 && j.entries[len(j.entries)-1].Index >= index {
		j.entries = j.entries[:len(j.entries)-1]
	}
}

func (j *Journal) dropCoveredEntries() {
	if j.snapshot == nil {
		return
	}
	for len(j.entries) > 0 && j.entries[0].Index <= j.snapshot.Index {
		j.entries = j.entries[1:]
	}
	// Entries of an older term than the snapshot were replaced when it came
	// from a leader.
	if len(j.entries) > 0 && j.entries[0].Term < j.snapshot.Term {
		j.entries = nil
	}
}

// checkContiguous returns ErrCorrupted if entries are missing, as when a whole
// segment was lost.
func (j *Journal) checkContiguous() error {
	want := uint64(1)
	if j.snapshot != nil {
		want = j.snapshot.Index + 1
	}
	for _, e := range j.entries {
		if e.Index != want {
			return errors.Wrapf(ErrCorrupted, "entry %d is missing", want)
		}
		want++
	}
	return nil
}

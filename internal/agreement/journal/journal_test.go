package journal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/record"
)

func entries(first, last, term uint64) []record.Entry {
	var out []record.Entry
	for i := first; i <= last; i++ {
		out = append(out, record.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "command %d", i)})
	}
	return out
}

func open(t *testing.T, d *faultdisk.Disk) *journal.Journal {
	t.Helper()
	j, err := journal.Open(d)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j
}

func save(t *testing.T, j *journal.Journal, hard *record.HardState, truncate uint64, e []record.Entry) {
	t.Helper()
	if err := j.Save(hard, truncate, e); err != nil {
		t.Fatalf("save: %v", err)
	}
}

func TestSavedEntriesSurviveCrash(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	d := &faultdisk.Disk{}
	j := open(t, d)
	save(t, j, &record.HardState{Term: 2, Vote: "a"}, 0, entries(1, 5, 2))
	save(t, j, nil, 4, entries(4, 6, 3))
	d.Crash(random)
	hard, _, got := open(t, d).State()
	want := append(entries(1, 3, 2), entries(4, 6, 3)...)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries after crash (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(record.HardState{Term: 2, Vote: "a"}, hard); diff != "" {
		t.Errorf("hard state after crash (-want +got):\n%s", diff)
	}
}

func TestTornTailIsTruncated(t *testing.T) {
	d := &faultdisk.Disk{}
	j := open(t, d)
	save(t, j, nil, 0, entries(1, 3, 1))
	names, _ := d.List()
	f, _ := d.Append(names[len(names)-1])
	if _, err := f.Write([]byte("\xE6EGJ torn")); err != nil {
		t.Fatal(err)
	}
	reopened := open(t, d)
	if reopened.TornBytes() == 0 {
		t.Error("no torn bytes were reported")
	}
	save(t, reopened, nil, 0, entries(4, 4, 1))
	_, _, got := open(t, d).State()
	if diff := cmp.Diff(entries(1, 4, 1), got); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}

// TestHoldsCorruptedMiddleIsReported corrupts each byte of the first half of a
// journal in turn. Open must return ErrCorrupted instead of truncating synced
// entries like a torn tail.
func TestHoldsCorruptedMiddleIsReported(t *testing.T) {
	build := func() *faultdisk.Disk {
		d := &faultdisk.Disk{}
		j := open(t, d)
		save(t, j, &record.HardState{Term: 1}, 0, entries(1, 3, 1))
		save(t, j, nil, 0, entries(4, 6, 1))
		return d
	}
	size := build().Size()
	for offset := range size / 2 {
		d := build()
		names, _ := d.List()
		d.Corrupt(names[0], offset)
		j, err := journal.Open(d)
		if err == nil {
			_, _, got := j.State()
			t.Fatalf("byte %d is corrupted, but the journal opens with %d entries", offset, len(got))
		}
		if !errors.Is(err, journal.ErrCorrupted) {
			t.Fatalf("byte %d: %v is not ErrCorrupted", offset, err)
		}
	}
}

func TestSnapshotKeepsLaterEntries(t *testing.T) {
	d := &faultdisk.Disk{}
	j := open(t, d)
	save(t, j, &record.HardState{Term: 1, Vote: "b"}, 0, entries(1, 10, 1))
	s := &record.Snapshot{Index: 6, Term: 1, Data: []byte("state")}
	if err := j.SaveSnapshot(s, false); err != nil {
		t.Fatal(err)
	}
	save(t, j, nil, 0, entries(11, 12, 1))
	d.Crash(rand.New(rand.NewPCG(2, 2)))
	hard, snap, got := open(t, d).State()
	if diff := cmp.Diff(s, snap); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(entries(7, 12, 1), got); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	if hard.Vote != "b" {
		t.Errorf("vote is %q, want b", hard.Vote)
	}
}

func TestDiskUsageIsBounded(t *testing.T) {
	d := &faultdisk.Disk{}
	j := open(t, d)
	const rounds, entriesPerRound = 50, 200
	largest := 0
	for r := range uint64(rounds) {
		save(t, j, nil, 0, entries(r*entriesPerRound+1, (r+1)*entriesPerRound, 1))
		s := &record.Snapshot{Index: (r + 1) * entriesPerRound, Term: 1, Data: []byte("state")}
		if err := j.SaveSnapshot(s, false); err != nil {
			t.Fatal(err)
		}
		largest = max(largest, d.Size())
	}
	roundBytes := len(strings.Repeat("x", 100)) * entriesPerRound
	if largest > 4*roundBytes {
		t.Errorf("journal grew to %d bytes for %d entries at a time", largest, entriesPerRound)
	}
}

// TestSnapshotFromLeaderReplacesLog crashes after a leader's snapshot replaced
// the log. Entries from before the snapshot must not reappear.
func TestSnapshotFromLeaderReplacesLog(t *testing.T) {
	for seed := range uint64(50) {
		d := &faultdisk.Disk{}
		j := open(t, d)
		save(t, j, &record.HardState{Term: 1}, 0, entries(1, 10, 1))
		if err := j.SaveSnapshot(&record.Snapshot{Index: 8, Term: 3, Data: []byte("s")}, true); err != nil {
			t.Fatal(err)
		}
		save(t, j, nil, 0, entries(9, 9, 3))
		d.Crash(rand.New(rand.NewPCG(seed, 3)))
		_, snap, got := open(t, d).State()
		if snap == nil || snap.Index != 8 {
			t.Fatalf("seed %d: snapshot is %v", seed, snap)
		}
		if diff := cmp.Diff(entries(9, 9, 3), got); diff != "" {
			t.Fatalf("seed %d: entries (-want +got):\n%s", seed, diff)
		}
	}
}

// TestHoldsFailedWriteMayBeRepeated guards against a journal that is corrupted by a
// disk which was full for a while: a part of a frame was left before the next one.
func TestHoldsFailedWriteMayBeRepeated(t *testing.T) {
	var d faultdisk.Disk
	j, err := journal.Open(&d)
	if err != nil {
		t.Fatal(err)
	}
	var want []record.Entry
	for i := range uint64(6) {
		e := record.Entry{Index: i + 1, Term: 1, Data: []byte("value")}
		want = append(want, e)
		save := func() error { return j.Save(&record.HardState{Term: 1}, 0, []record.Entry{e}) }
		if i%2 == 0 {
			d.Full.Store(true)
			for range 3 {
				if save() == nil {
					t.Fatal("a full disk stored an entry")
				}
			}
			d.Full.Store(false)
		}
		if err := save(); err != nil {
			t.Fatal(err)
		}
	}
	snap := &record.Snapshot{Index: 2, Term: 1}
	d.Full.Store(true)
	if j.SaveSnapshot(snap, false) == nil {
		t.Fatal("a full disk stored a snapshot")
	}
	d.Full.Store(false)
	if err := j.SaveSnapshot(snap, false); err != nil {
		t.Fatal(err)
	}
	again, err := journal.Open(&d)
	if err != nil {
		t.Fatal(err)
	}
	_, gotSnap, got := again.State()
	if diff := cmp.Diff(want[2:], got); diff != "" || gotSnap == nil || gotSnap.Index != 2 {
		t.Errorf("snapshot %+v, entries (-want +got):\n%s", gotSnap, diff)
	}
}

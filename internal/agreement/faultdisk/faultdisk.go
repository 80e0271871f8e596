// Package faultdisk implements the journal's directory in memory for tests. A
// simulated crash loses or tears unsynced writes.
package faultdisk

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"egretproxy/internal/agreement/disk"
)

// fileContent is the content of a file. Its first synced bytes survive a crash.
type fileContent struct {
	data   []byte
	synced int
}

// Disk is a directory in memory. The zero value is empty.
type Disk struct {
	// current holds the files that the running process sees, durable those
	// whose names survive a crash.
	current map[string]*fileContent
	durable map[string]*fileContent
	// SyncCount is the number of calls of File.Sync.
	SyncCount int
	// Full makes the disk refuse all writes. A write may leave a part behind.
	Full atomic.Bool
	// SyncNanos is the time in nanoseconds that each File.Sync takes.
	SyncNanos atomic.Int64
}

func (d *Disk) init() {
	if d.current == nil {
		d.current = map[string]*fileContent{}
		d.durable = map[string]*fileContent{}
	}
}

// Crash drops unsynced names and a random tail of the unsynced bytes of each
// file.
func (d *Disk) Crash(random *rand.Rand) {
	d.init()
	d.current = maps.Clone(d.durable)
	for _, c := range d.current {
		extra := len(c.data) - c.synced
		if extra > 0 {
			extra = random.IntN(extra + 1)
		}
		c.data = c.data[:c.synced+extra]
		c.synced = len(c.data)
	}
}

// Wipe removes all files, as when the disk is lost.
func (d *Disk) Wipe() {
	d.current, d.durable = nil, nil
}

// Corrupt inverts the byte at an offset of a file.
func (d *Disk) Corrupt(name string, offset int) {
	d.current[name].data[offset] ^= 0xFF
}

// Size returns the total size of all files in bytes.
func (d *Disk) Size() int {
	n := 0
	for _, c := range d.current {
		n += len(c.data)
	}
	return n
}

type file struct {
	disk    *Disk
	content *fileContent
}

// Write implements disk.File.
func (f *file) Write(p []byte) (int, error) {
	if f.disk.Full.Load() {
		f.content.data = append(f.content.data, p[:len(p)/2]...)
		return len(p) / 2, syscall.ENOSPC
	}
	f.content.data = append(f.content.data, p...)
	return len(p), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	if f.disk.Full.Load() {
		return syscall.ENOSPC
	}
	time.Sleep(time.Duration(f.disk.SyncNanos.Load()))
	f.disk.SyncCount++
	f.content.synced = len(f.content.data)
	return nil
}

// Close implements disk.File.
func (f *file) Close() error { return nil }

// Append implements journal.Dir.
func (d *Disk) Append(name string) (disk.File, error) {
	d.init()
	c := d.current[name]
	if c == nil && d.Full.Load() {
		return nil, syscall.ENOSPC
	}
	if c == nil {
		c = &fileContent{}
		d.current[name] = c
	}
	return &file{disk: d, content: c}, nil
}

// Read implements journal.Dir.
func (d *Disk) Read(name string) ([]byte, error) {
	d.init()
	c := d.current[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Truncate implements journal.Dir.
func (d *Disk) Truncate(name string, size int64) error {
	if d.Full.Load() {
		return syscall.ENOSPC
	}
	c := d.current[name]
	c.data = c.data[:size]
	c.synced = int(size)
	return nil
}

// Rename implements journal.Dir.
func (d *Disk) Rename(from, to string) error {
	d.current[to] = d.current[from]
	delete(d.current, from)
	return nil
}

// Remove implements journal.Dir.
func (d *Disk) Remove(name string) error {
	d.init()
	if _, ok := d.current[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.current, name)
	return nil
}

// List implements journal.Dir.
func (d *Disk) List() ([]string, error) {
	d.init()
	return slices.Sorted(maps.Keys(d.current)), nil
}

// Sync implements journal.Dir.
func (d *Disk) Sync() error {
	d.init()
	d.durable = maps.Clone(d.current)
	return nil
}

// Package faultdisk is a folder in memory for tests of the agreed log. It
// loses and tears what was not synced when it crashes.
package faultdisk

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"egretproxy/internal/agreement/disk"
)

// content is a file, of which the first synced bytes survive a crash.
type content struct {
	data   []byte
	synced int
}

// Disk is one folder. The zero value is empty.
type Disk struct {
	// names is what the running process sees, durable what a crash leaves.
	names   map[string]*content
	durable map[string]*content
	// Syncs counts calls of Sync on files.
	Syncs int
}

func (d *Disk) init() {
	if d.names == nil {
		d.names = map[string]*content{}
		d.durable = map[string]*content{}
	}
}

// Crash forgets what was not synced. A random part of it may survive.
func (d *Disk) Crash(random *rand.Rand) {
	d.init()
	d.names = maps.Clone(d.durable)
	for _, c := range d.names {
		extra := len(c.data) - c.synced
		if extra > 0 {
			extra = random.IntN(extra + 1)
		}
		c.data = c.data[:c.synced+extra]
		c.synced = len(c.data)
	}
}

// Wipe loses everything.
func (d *Disk) Wipe() {
	d.names, d.durable = nil, nil
}

// Damage alters one byte of a file.
func (d *Disk) Damage(name string, offset int) {
	d.names[name].data[offset] ^= 0xFF
}

// Size returns the bytes of all files.
func (d *Disk) Size() int {
	n := 0
	for _, c := range d.names {
		n += len(c.data)
	}
	return n
}

// file is an open file.
type file struct {
	disk *Disk
	c    *content
}

// Write implements disk.File.
func (f *file) Write(p []byte) (int, error) {
	f.c.data = append(f.c.data, p...)
	return len(p), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	f.disk.Syncs++
	f.c.synced = len(f.c.data)
	return nil
}

// Close implements disk.File.
func (f *file) Close() error { return nil }

// Append implements journal.Folder.
func (d *Disk) Append(name string) (disk.File, error) {
	d.init()
	c := d.names[name]
	if c == nil {
		c = &content{}
		d.names[name] = c
	}
	return &file{disk: d, c: c}, nil
}

// Read implements journal.Folder.
func (d *Disk) Read(name string) ([]byte, error) {
	d.init()
	c := d.names[name]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Truncate implements journal.Folder.
func (d *Disk) Truncate(name string, size int64) error {
	c := d.names[name]
	c.data = c.data[:size]
	c.synced = int(size)
	return nil
}

// Rename implements journal.Folder.
func (d *Disk) Rename(from, to string) error {
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// Remove implements journal.Folder.
func (d *Disk) Remove(name string) error {
	d.init()
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// List implements journal.Folder.
func (d *Disk) List() ([]string, error) {
	d.init()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Sync implements journal.Folder.
func (d *Disk) Sync() error {
	d.init()
	d.durable = maps.Clone(d.names)
	return nil
}

// Package disk gives the journal its few file operations, so that tests can
// lose and tear writes.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrLocked tells that another process uses the folder.
var ErrLocked = errors.New("data folder is in use by another process")

// File is an open file that grows at its end.
type File interface {
	io.Writer
	// Sync returns once everything written is on the disk.
	Sync() error
	Close() error
}

const (
	fileMode     = 0o600
	dirMode      = 0o700
	lockFileName = "lock"
)

// Dir is one directory on a disk. The zero value is not usable, since it
// has no path; take Open.
type Dir struct {
	path string
	lock *os.File
}

// Open creates the folder if needed and locks it for this process.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, ErrLocked
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close releases the folder.
func (f *Dir) Close() error {
	return f.lock.Close()
}

// Append opens a file for writing at its end and creates it if needed.
func (f *Dir) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Read returns the whole file.
func (f *Dir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Truncate cuts the file to the size in bytes and syncs it.
func (f *Dir) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename replaces the new name by the old one.
func (f *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes the file.
func (f *Dir) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// List returns the names of all files in order.
func (f *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		if !e.IsDir() {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, nil
}

// Sync returns once created, renamed and removed names are on the disk.
func (f *Dir) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Package disk implements the file operations of the journal on a locked
// directory. Tests replace it with package faultdisk, which loses and tears
// unsynced writes.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrLocked means that another process has locked the directory.
var ErrLocked = errors.New("data directory is in use by another process")

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync returns once all written data is on stable storage.
	Sync() error
	Close() error
}

const (
	fileMode     = 0o600
	dirMode      = 0o700
	lockFileName = "lock"
)

// Dir is a directory that is locked by this process. Open returns one; the
// zero value is not usable.
type Dir struct {
	path string
	lock *os.File
}

// Open creates the directory if needed and locks it. It returns ErrLocked if
// another process holds the lock, and the system's error if the directory can't
// be locked at all.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	lockFile, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := lock(lockFile); err != nil {
		_ = lockFile.Close()
		return nil, errors.Wrap(err, path)
	}
	return &Dir{path: path, lock: lockFile}, nil
}

// lock locks an open file without waiting. It returns ErrLocked if another
// process holds the lock.
func lock(f *os.File) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "lock")
	}
	var lockErr error
	if err := raw.Control(func(fd uintptr) { lockErr = syscall.Flock(int(fd), syscall.LOCK_EX|syscall.LOCK_NB) }); err != nil {
		return errors.Wrap(err, "lock")
	}
	if errors.Is(lockErr, syscall.EWOULDBLOCK) {
		return ErrLocked
	}
	if lockErr != nil {
		return errors.Wrap(lockErr, "lock")
	}
	return nil
}

// Close releases the lock.
func (d *Dir) Close() error {
	return d.lock.Close()
}

// Append opens a file for appending and creates it if needed.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Read returns the content of a file.
func (d *Dir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Truncate truncates a file to size bytes and syncs it.
func (d *Dir) Truncate(name string, size int64) error {
	file, err := os.OpenFile(filepath.Join(d.path, name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Rename renames a file and replaces the target if it exists.
func (d *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Remove removes a file.
func (d *Dir) Remove(name string) error {
	return os.Remove(filepath.Join(d.path, name))
}

// List returns the sorted names of all files, without subdirectories.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
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

// Sync returns once created, renamed and removed names are on stable storage.
func (d *Dir) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

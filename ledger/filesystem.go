package ledger

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// FileSystem is the set of file operations that a ledger uses. Names are full
// paths.
type FileSystem interface {
	// Create opens a file for writing and truncates it if it exists.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// List returns the sorted names of a directory's entries.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in the directory durable.
	SyncDir(dir string) error
}

// File is an open file of a FileSystem.
type File interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// OSFileSystem returns the operating system's file system, for file systems that wrap it.
func OSFileSystem() FileSystem { return osFileSystem{} }

// osFileSystem is the operating system's file system.
type osFileSystem struct{}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

func (osFileSystem) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

func (osFileSystem) Open(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR, fileMode)
}

func (osFileSystem) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (osFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

func (osFileSystem) Remove(name string) error {
	return os.Remove(name)
}

func (osFileSystem) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

const lockName = "lock"

// lockDir creates the directory if it is missing and locks it for this process with a file of
// the given name. The lock is released with the file's last descriptor, so a crash releases it.
func lockDir(dir, name string) (*os.File, error) {
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) {
		if err := os.MkdirAll(dir, dirMode); err != nil {
			return nil, errors.Wrap(err, "create ledger directory")
		}
	}
	if err := (osFileSystem{}).SyncDir(filepath.Dir(dir)); err != nil {
		return nil, errors.Wrap(err, "sync parent of ledger directory")
	}
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(ErrLocked, "lock %s: %v", dir, err)
	}
	return f, nil
}

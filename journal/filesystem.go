package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// FileSystem is what a journal uses of the operating system's files. Names are
// full paths.
type FileSystem interface {
	// Create opens a new or emptied file for writing.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// ReadFile returns a file's bytes.
	ReadFile(name string) ([]byte, error)
	// List returns the names within a folder, sorted.
	List(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in the folder durable.
	SyncDir(folder string) error
}

// File is an open file.
type File interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// disk is the operating system's file system.
type disk struct{}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

func (disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

func (disk) Open(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR, fileMode)
}

func (disk) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

func (disk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

func (disk) Remove(name string) error {
	return os.Remove(name)
}

func (disk) SyncDir(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

const lockName = "lock"

// lockFolder creates the folder if needed and takes it for this process. The
// lock ends with the file's last descriptor, so a crash frees it.
func lockFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create journal folder")
	}
	if err := (disk{}).SyncDir(filepath.Dir(folder)); err != nil {
		return nil, errors.Wrap(err, "sync parent of journal folder")
	}
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(ErrLocked, "lock %s: %v", folder, err)
	}
	return f, nil
}

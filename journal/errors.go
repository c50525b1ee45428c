package journal

import (
	"fmt"
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// The errors of a journal, for errors.Is.
var (
	// ErrLocked says that another journal holds the folder.
	ErrLocked = errors.New("journal folder is held by another process")
	// ErrCorrupt says that acknowledged records are damaged; the error is a
	// *CorruptError, which names the place.
	ErrCorrupt = errors.New("journal is corrupt")
	// ErrDiskFull says that the disk is full and that the call changed nothing.
	ErrDiskFull = errors.New("journal disk is full")
	// ErrFailed says that an earlier write or fsync failed and that the journal
	// takes no more calls.
	ErrFailed = errors.New("journal has failed")
	// ErrClosed says that Close was called.
	ErrClosed = errors.New("journal is closed")
	// ErrInvalidIndex says that the indexes of a call do not fit the log.
	ErrInvalidIndex = errors.New("journal index out of order")
	// ErrTooLarge says that a record, a state or a batch is longer than it may be.
	ErrTooLarge = errors.New("journal record is too large")
)

// CorruptError names the place of damage that no crash explains.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file and the offset in bytes.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s at offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error {
	return ErrCorrupt
}

// isFull reports whether a write failed for lack of room.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, io.ErrShortWrite)
}

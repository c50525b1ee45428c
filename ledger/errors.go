package ledger

import (
	"fmt"
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// Errors returned by a Ledger, to be matched with errors.Is. Texts of errors that
// Append, Truncate and SaveSnapshot return can become part of responses to operators
// and must not change.
var (
	// ErrLocked is returned when another ledger has locked the directory.
	ErrLocked = errors.New("ledger directory is locked by another process")
	// ErrCorrupt is returned when acknowledged records are damaged. The error is a
	// *CorruptError with the file and the offset.
	ErrCorrupt = errors.New("ledger is corrupt")
	// ErrDiskFull is returned when the disk is full. The call had no effect.
	ErrDiskFull = errors.New("ledger disk is full")
	// ErrFailed is returned when a write or fsync failed, and by every call after
	// that until Recover succeeds.
	ErrFailed = errors.New("ledger has failed")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("ledger is closed")
	// ErrInvalidIndex is returned when the indexes of a call do not fit the log.
	ErrInvalidIndex = errors.New("ledger index out of order")
	// ErrTooLarge is returned when a record, a state or a batch exceeds its size
	// limit.
	ErrTooLarge = errors.New("ledger record is too large")
)

// CorruptError reports the location of damage that a crash can't explain.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error includes the file and the offset in bytes.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s at offset %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error {
	return ErrCorrupt
}

// isDiskFull reports whether a write failed for lack of disk space or quota. A short
// write counts as such.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, io.ErrShortWrite)
}

// Package platform runs a small deployment of the project's own programs for the cases of the second
// review: daemons as separate processes with the settings of the deploy file, and stand-ins for
// clients, replicas, the operator and the platform.
package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Notef writes a line with the time since the start.
func (r *Record) Notef(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

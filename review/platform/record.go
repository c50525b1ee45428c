package platform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run into a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the seconds since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", arguments...)
}

// Say writes a line into the file and to the standard output.
func (r *Record) Say(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, arguments...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits of an AsyncWriter.
const (
	// maxBufferedBytes is the maximum size of the buffered lines in bytes.
	maxBufferedBytes = 256 << 10
	// flushInterval is the interval over which lines are collected into one write, to
	// save system calls.
	flushInterval = 50 * time.Millisecond
	// maxLinesPerWindow is the number of lines that are accepted in each lineWindow.
	// 1/reservedDivisor of them is reserved for warnings and errors.
	maxLinesPerWindow = 400
	lineWindow        = time.Second
	reservedDivisor   = 4
)

// AsyncWriter is a log output that never blocks its writers. A goroutine writes
// whole lines from a bounded buffer. Lines that exceed the buffer or the line budget
// are dropped, and a separate warning reports their number.
type AsyncWriter struct {
	out   io.Writer
	clock clockwork.Clock

	mu          sync.Mutex
	buffered    []byte
	spare       []byte
	lines       int
	windowStart time.Time
	dropped     int
	wake        chan struct{}
	done        chan struct{}
	closed      bool
}

// NewAsyncWriter returns a writer that forwards lines to out until Close.
func NewAsyncWriter(out io.Writer, clock clockwork.Clock) *AsyncWriter {
	w := &AsyncWriter{out: out, clock: clock, windowStart: clock.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers or drops one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(line) == 0 {
		return 0, nil
	}
	now := w.clock.Now()
	if now.Sub(w.windowStart) >= lineWindow {
		w.windowStart, w.lines = now, 0
	}
	allowed := maxLinesPerWindow
	if isRoutine(line) {
		allowed -= maxLinesPerWindow / reservedDivisor
	}
	if w.closed || w.lines >= allowed || len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.lines++
	w.buffered = append(w.buffered, line...)
	w.signal()
	return len(line), nil
}

// signal wakes the writing goroutine.
func (w *AsyncWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the buffered lines until the writer is closed.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		closed := w.isClosed()
		if !closed {
			<-w.clock.After(flushInterval)
		}
		batch := w.take()
		if len(batch) > 0 {
			// A failed write loses these lines and has no other effect.
			_, _ = w.out.Write(batch)
			w.recycle(batch)
		}
		if closed {
			return
		}
	}
}

func (w *AsyncWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// take returns the buffered lines, with a warning if any were dropped.
func (w *AsyncWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.buffered
	w.buffered, w.spare = w.spare[:0], nil
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"Log: Lines were dropped.\",\"Dropped\":%d}\n", w.dropped)
		w.dropped = 0
	}
	return batch
}

// recycle keeps the written buffer for reuse.
func (w *AsyncWriter) recycle(batch []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = batch[:0]
}

// Close writes the buffered lines and stops the writer. It waits at most timeout for
// an output that blocks.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-w.clock.After(timeout):
	}
}

// isRoutine reports whether a line has level info or debug.
func isRoutine(line []byte) bool {
	for _, marker := range []string{`"level":"info"`, `level=info`, `"level":"debug"`, `level=debug`} {
		if bytes.Contains(line, []byte(marker)) {
			return true
		}
	}
	return false
}

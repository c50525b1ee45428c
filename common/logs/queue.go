package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// The bounds of a Queue.
const (
	// queueBytes is the largest amount of log that waits for its reader.
	queueBytes = 256 << 10
	// queuePause is how long lines are gathered: each write costs a system call.
	queuePause = 50 * time.Millisecond
	// lineBudget and budgetTime bound the lines of one process; failures may use
	// all of it, routine lines three quarters.
	lineBudget   = 400
	budgetTime   = time.Second
	routineParts = 4
)

// AsyncWriter is a log output that never blocks its writers. Whole lines wait in a
// bounded buffer for one goroutine that writes them. What finds no room, or is
// over the budget of lines, is dropped, counted, and told by a line of its own.
type AsyncWriter struct {
	out   io.Writer
	clock clockwork.Clock

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	lines   int
	since   time.Time
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewAsyncWriter returns a queue that writes to out until Close.
func NewAsyncWriter(out io.Writer, clock clockwork.Clock) *AsyncWriter {
	q := &AsyncWriter{out: out, clock: clock, since: clock.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line. It never fails and never blocks.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(line) == 0 {
		return 0, nil
	}
	now := q.clock.Now()
	if now.Sub(q.since) >= budgetTime {
		q.since, q.lines = now, 0
	}
	allowed := lineBudget
	if routine(line) {
		allowed -= lineBudget / routineParts
	}
	if q.closed || q.lines >= allowed || len(q.waiting)+len(line) > queueBytes {
		q.dropped++
		return len(line), nil
	}
	q.lines++
	q.waiting = append(q.waiting, line...)
	q.signal()
	return len(line), nil
}

func (q *AsyncWriter) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run writes what waits.
func (q *AsyncWriter) run() {
	defer close(q.done)
	for range q.wake {
		closed := q.isClosed()
		if !closed {
			<-q.clock.After(queuePause)
		}
		batch := q.take()
		if len(batch) > 0 {
			// A reader that is gone costs lines, nothing else.
			_, _ = q.out.Write(batch)
			q.putBack(batch)
		}
		if closed {
			return
		}
	}
}

func (q *AsyncWriter) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

func (q *AsyncWriter) take() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.waiting
	q.waiting, q.spare = q.spare[:0], nil
	if q.dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"Log: Lines were dropped.\",\"Dropped\":%d}\n", q.dropped)
		q.dropped = 0
	}
	return batch
}

func (q *AsyncWriter) putBack(batch []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spare = batch[:0]
}

// Close writes what waits and ends the queue. A reader that does not read holds
// it up for at most limit.
func (q *AsyncWriter) Close(limit time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
	select {
	case <-q.done:
	case <-q.clock.After(limit):
	}
}

// routine reports whether a line tells of something that went well.
func routine(line []byte) bool {
	for _, mark := range []string{`"level":"info"`, `level=info`, `"level":"debug"`, `level=debug`} {
		if bytes.Contains(line, []byte(mark)) {
			return true
		}
	}
	return false
}

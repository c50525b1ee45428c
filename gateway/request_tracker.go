package gateway

import "sync"

// requestTracker counts the requests and background tasks in flight and rejects
// new requests while draining.
type requestTracker struct {
	mu              sync.Mutex
	requests        int
	backgroundTasks int
	drainStarted    bool
	idle            chan struct{}
}

func newRequestTracker() *requestTracker { return &requestTracker{idle: make(chan struct{})} }

// tryBegin adds a request. It returns false while draining.
func (t *requestTracker) tryBegin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drainStarted {
		return false
	}
	t.requests++
	return true
}

// tryBeginDuringDrain adds a request even while draining. It returns false once
// the drain is complete.
func (t *requestTracker) tryBeginDuringDrain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.idle:
		return false
	default:
		t.requests++
		return true
	}
}

// end removes a request.
func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests--
	t.closeIfIdle()
}

// runBackground runs a task in a new goroutine. A drain waits for it too.
func (t *requestTracker) runBackground(task func()) {
	t.mu.Lock()
	t.backgroundTasks++
	t.mu.Unlock()
	go func() {
		defer func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.backgroundTasks--
			t.closeIfIdle()
		}()
		task()
	}()
}

// closeIfIdle signals the drain once nothing is in flight. The caller holds the
// lock.
func (t *requestTracker) closeIfIdle() {
	if !t.drainStarted || t.requests > 0 || t.backgroundTasks > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// startDrain rejects new requests and returns a channel that is closed once
// nothing is in flight.
func (t *requestTracker) startDrain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainStarted = true
	t.closeIfIdle()
	return t.idle
}

func (t *requestTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainStarted
}

// inFlight returns the number of requests in flight.
func (t *requestTracker) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

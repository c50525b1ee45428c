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
func (w *requestTracker) tryBegin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainStarted {
		return false
	}
	w.requests++
	return true
}

// tryBeginDuringDrain adds a request even while draining. It returns false once
// the drain is complete.
func (w *requestTracker) tryBeginDuringDrain() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.idle:
		return false
	default:
		w.requests++
		return true
	}
}

// end removes a request.
func (w *requestTracker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.closeIfIdle()
}

// runBackground runs a task in a new goroutine. A drain waits for it too.
func (w *requestTracker) runBackground(task func()) {
	w.mu.Lock()
	w.backgroundTasks++
	w.mu.Unlock()
	go func() {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.backgroundTasks--
			w.closeIfIdle()
		}()
		task()
	}()
}

// closeIfIdle signals the drain once nothing is in flight. The caller holds the
// lock.
func (w *requestTracker) closeIfIdle() {
	if !w.drainStarted || w.requests > 0 || w.backgroundTasks > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}

// startDrain rejects new requests and returns a channel that is closed once
// nothing is in flight.
func (w *requestTracker) startDrain() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainStarted = true
	w.closeIfIdle()
	return w.idle
}

func (w *requestTracker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainStarted
}

// inFlight returns the number of requests in flight.
func (w *requestTracker) inFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests
}

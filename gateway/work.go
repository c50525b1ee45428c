package gateway

import "sync"

// work counts the requests in hand and refuses new ones while draining.
type work struct {
	mu         sync.Mutex
	requests   int
	background int
	closed     bool
	idle       chan struct{}
}

func newWork() *work { return &work{idle: make(chan struct{})} }

// begin counts a request in; it reports false while draining.
func (w *work) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.requests++
	return true
}

// beginLate counts a request in while draining; it reports false once the drain
// has found nothing left.
func (w *work) beginLate() bool {
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

// end counts a request out.
func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests--
	w.check()
}

// run does a task beside the requests; a drain waits for it too.
func (w *work) run(task func()) {
	w.mu.Lock()
	w.background++
	w.mu.Unlock()
	go func() {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.background--
			w.check()
		}()
		task()
	}()
}

// check tells the drain when nothing is left. The lock is held.
func (w *work) check() {
	if !w.closed || w.requests > 0 || w.background > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}

// drain refuses new requests; the channel closes when none is left.
func (w *work) drain() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.check()
	return w.idle
}

func (w *work) draining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// count returns the requests in hand.
func (w *work) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests
}

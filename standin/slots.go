package standin

import (
	"container/heap"
	"sync"
)

// slots bound the requests that run at once. Waiting requests go by priority,
// then by arrival.
type slots struct {
	mu       sync.Mutex
	limit    int
	used     int
	arrivals int
	waiting  waitQueue
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  int
	ready    chan struct{}
	gone     bool
}

func newSlots(limit int) *slots { return &slots{limit: limit} }

// acquire waits for a slot; it reports false when one of the channels closes
// first.
func (s *slots) acquire(priority int, cancelled, closed chan struct{}) bool {
	s.mu.Lock()
	if s.limit == 0 || s.used < s.limit {
		s.used++
		s.mu.Unlock()
		return true
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-cancelled:
	case <-closed:
	}
	return s.leave(w)
}

// leave gives up waiting; it reports true when the slot came first.
func (s *slots) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	default:
		w.gone = true
		return false
	}
}

// release passes the slot to the waiting request of highest priority.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.waiting.Len() > 0 {
		w, _ := heap.Pop(&s.waiting).(*waiter)
		if !w.gone {
			close(w.ready)
			return
		}
	}
	s.used--
}

// queued returns the number of waiting requests.
func (s *slots) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting.Len()
}

// waitQueue orders waiters for the heap.
type waitQueue []*waiter

// Len is the number of waiters.
func (q waitQueue) Len() int { return len(q) }

// Less puts the higher priority first, then the earlier arrival.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two waiters.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a waiter.
func (q *waitQueue) Push(x any) {
	w, _ := x.(*waiter)
	*q = append(*q, w)
}

// Pop removes the last waiter.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

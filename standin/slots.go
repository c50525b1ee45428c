package standin

import (
	"container/heap"
	"sync"
)

// slotPool limits the number of requests that run at the same time. Waiting
// requests are ordered by priority, then by arrival. A limit of 0 sets no limit.
type slotPool struct {
	mu       sync.Mutex
	limit    int
	used     int
	arrivals int
	waiting  waiterHeap
}

// waiter is a request that waits for a slot. ready is closed when it gets one.
type waiter struct {
	priority  int
	arrival   int
	ready     chan struct{}
	abandoned bool
}

func newSlotPool(limit int) *slotPool { return &slotPool{limit: limit} }

// acquire waits for a slot. It returns false if one of the channels is closed
// first.
func (s *slotPool) acquire(priority int, cancelled, closed chan struct{}) bool {
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
	return s.abandon(w)
}

// abandon stops waiting. It returns true if the waiter got a slot before.
func (s *slotPool) abandon(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	default:
		w.abandoned = true
		return false
	}
}

// release passes the slot to the waiting request with the highest priority, or
// frees it if none is waiting.
func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.waiting.Len() > 0 {
		w, _ := heap.Pop(&s.waiting).(*waiter)
		if !w.abandoned {
			close(w.ready)
			return
		}
	}
	s.used--
}

// queued returns the number of waiting requests, including abandoned ones that
// are still in the heap.
func (s *slotPool) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting.Len()
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

// Len returns the number of waiters.
func (q waiterHeap) Len() int { return len(q) }

// Less orders by descending priority, then by arrival.
func (q waiterHeap) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap swaps two waiters.
func (q waiterHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a waiter.
func (q *waiterHeap) Push(x any) {
	w, _ := x.(*waiter)
	*q = append(*q, w)
}

// Pop removes the last waiter.
func (q *waiterHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

package standin

import (
	"container/heap"
	"sync"
)

// slotPool limits the number of requests that run at the same time. Queued
// requests are ordered by priority, highest first, then by arrival. A limit of 0 sets no limit.
type slotPool struct {
	mu       sync.Mutex
	limit    int
	used     int
	arrivals int
	queue    waiterHeap
}

// waiter is a queued request. ready is closed when it gets one.
type waiter struct {
	priority  int
	arrival   int
	ready     chan struct{}
	abandoned bool
}

func newSlotPool(limit int) *slotPool { return &slotPool{limit: limit} }

// acquire waits for a slot. It returns false if one of the channels is closed
// first.
func (s *slotPool) acquire(priority int, canceled, closed chan struct{}) bool {
	s.mu.Lock()
	if s.limit == 0 || s.used < s.limit {
		s.used++
		s.mu.Unlock()
		return true
	}
	s.arrivals++
	w := &waiter{priority: priority, arrival: s.arrivals, ready: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-canceled:
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

// release passes the slot to the queued request with the highest priority, or
// frees it if none is queued.
func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.queue.Len() > 0 {
		w, _ := heap.Pop(&s.queue).(*waiter)
		if !w.abandoned {
			close(w.ready)
			return
		}
	}
	s.used--
}

// queued returns the number of queued requests that still wait.
func (s *slotPool) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := 0
	for _, w := range s.queue {
		if !w.abandoned {
			waiting++
		}
	}
	return waiting
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

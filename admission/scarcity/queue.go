package scarcity

import (
	"slices"
	"time"
)

const (
	// maxWaiting and maxWaitingBytes limit the requests that wait for a service and the
	// memory that they take.
	maxWaiting      = 64
	maxWaitingBytes = 4 << 20
	// waitPart is the part of its objective that a request waits at most.
	waitPart = 1.0 / 8
	// repeatableTag is how far a repeatable request is placed behind one that may run only
	// once, in the units of the tags of fair queueing.
	repeatableTag = 0.5
)

// Waiter is a request in the queue.
type Waiter struct {
	Request
	// ExpiresAt is when the request stops waiting.
	ExpiresAt time.Time
	// Share is the share of its class when it was queued.
	Share   float64
	draw    float64
	tag     float64
	arrival uint64
}

// waitQueue holds the requests that are to get a place soon, in the order in which they
// get it: by rank, by start-time fair queueing between the workspaces, and by deadline.
//
// It is designed for the noise of arrivals on a host with many requests: a burst of some
// requests passes within milliseconds, and refusing them would waste room. It holds less
// than what the host may send within the longest wait, some tens of requests, so that a
// linear search is fast.
type waitQueue struct {
	waiters []*Waiter
	bytes   int
	// virtualTime and finishTags are those of start-time fair queueing. The tags start anew
	// whenever the queue is empty.
	virtualTime float64
	finishTags  map[string]float64
	arrivals    uint64
}

// push adds a request. If the queue is full, it takes the place of the last one in order if
// that has a lower rank, which is returned. ok is false if there is no place.
func (q *waitQueue) push(w *Waiter, weight float64) (evicted *Waiter, ok bool) {
	if len(q.waiters) == 0 {
		q.virtualTime, q.finishTags = 0, map[string]float64{}
	}
	if len(q.waiters) >= maxWaiting || q.bytes+w.Bytes > maxWaitingBytes {
		last := slices.MaxFunc(q.waiters, compareWaiters)
		if last.Priority >= w.Priority || q.bytes-last.Bytes+w.Bytes > maxWaitingBytes {
			return nil, false
		}
		q.remove(last)
		evicted = last
	}
	q.arrivals++
	w.arrival = q.arrivals
	w.tag = max(q.virtualTime, q.finishTags[w.Workspace])
	q.finishTags[w.Workspace] = w.tag + 1/weight
	if !w.Once {
		w.tag += repeatableTag
	}
	q.waiters = append(q.waiters, w)
	q.bytes += w.Bytes
	return evicted, true
}

// pop removes and returns the first request in order; nil if there is none.
func (q *waitQueue) pop() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	first := slices.MinFunc(q.waiters, compareWaiters)
	q.virtualTime = max(q.virtualTime, first.tag)
	q.remove(first)
	return first
}

// remove removes a request and reports whether it was in the queue.
func (q *waitQueue) remove(w *Waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	q.bytes -= w.Bytes
	return true
}

// ahead returns the number of requests of the same or a higher rank.
func (q *waitQueue) ahead(priority int) int {
	n := 0
	for _, w := range q.waiters {
		if w.Priority >= priority {
			n++
		}
	}
	return n
}

// before returns the number of requests that are served before w.
func (q *waitQueue) before(w *Waiter) int {
	n := 0
	for _, other := range q.waiters {
		if other != w && compareWaiters(other, w) < 0 {
			n++
		}
	}
	return n
}

// compareWaiters orders requests; the first one is served first.
func compareWaiters(a, b *Waiter) int {
	switch {
	case a.Priority != b.Priority:
		return b.Priority - a.Priority
	case a.tag < b.tag:
		return -1
	case a.tag > b.tag:
		return 1
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Compare(b.Deadline)
	case a.arrival < b.arrival:
		return -1
	}
	return 1
}

package admission

import (
	"cmp"
	"slices"
	"time"

	"comfreytiller.dev/chat"
)

// waiting is one request in the queue.
type waiting struct {
	request   Request
	chat      chat.Key
	arrival   uint64
	since     time.Time
	expires   time.Time
	workspace *workspace
	// position and expiry are the positions in the two heaps.
	position int
	expiry   int
}

// workspace is the queue and the share of one workspace.
type workspace struct {
	name string
	// allowed is false when the fleet text no longer lets it use the service.
	allowed bool
	share   float64
	// start and finish are the tags of start-time fair queueing.
	start    float64
	finish   float64
	position int
	inFlight int
	requests heap[*waiting]
	drain    rate
}

func newWorkspace(name string) *workspace {
	w := &workspace{name: name, position: -1}
	w.requests.less = func(a, b *waiting) bool {
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.arrival < b.arrival
	}
	w.requests.moved = func(item *waiting, position int) { item.position = position }
	return w
}

// queue orders waiting requests: between workspaces by start-time fair queueing
// weighted by their shares, within one by priority, then by arrival.
type queue struct {
	// virtual is the start tag of the request that was served last.
	virtual  float64
	arrivals uint64
	waiting  map[string]*waiting
	active   heap[*workspace]
	expiring heap[*waiting]
}

func newQueue() *queue {
	q := &queue{waiting: map[string]*waiting{}}
	q.active.less = func(a, b *workspace) bool {
		if a.start != b.start {
			return a.start < b.start
		}
		return a.name < b.name
	}
	q.active.moved = func(item *workspace, position int) { item.position = position }
	q.expiring.less = func(a, b *waiting) bool {
		if !a.expires.Equal(b.expires) {
			return a.expires.Before(b.expires)
		}
		return a.arrival < b.arrival
	}
	q.expiring.moved = func(item *waiting, position int) { item.expiry = position }
	return q
}

func (q *queue) len() int {
	return len(q.waiting)
}

// add puts a request at its place in its workspace.
func (q *queue) add(item *waiting) {
	q.arrivals++
	item.arrival = q.arrivals
	q.insert(item)
}

func (q *queue) insert(item *waiting) {
	q.waiting[item.request.ID] = item
	q.expiring.push(item)
	w := item.workspace
	w.requests.push(item)
	if w.requests.len() == 1 {
		w.start = max(q.virtual, w.finish)
		q.active.push(w)
	}
}

// remove takes a request out without serving it.
func (q *queue) remove(item *waiting) {
	delete(q.waiting, item.request.ID)
	q.expiring.remove(item.expiry)
	w := item.workspace
	w.requests.remove(item.position)
	if w.requests.len() == 0 {
		q.active.remove(w.position)
	}
}

// inOrder returns the waiting requests in the order of their arrival.
func (q *queue) inOrder() []*waiting {
	list := make([]*waiting, 0, len(q.waiting))
	for _, item := range q.waiting {
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b *waiting) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}

// next returns the request whose turn it is, or nil.
func (q *queue) next() *waiting {
	if q.active.len() == 0 {
		return nil
	}
	return q.active.top().requests.top()
}

// serve takes a request out and charges its workspace.
func (q *queue) serve(item *waiting) {
	w := item.workspace
	q.virtual = max(q.virtual, w.start)
	w.finish = w.start + 1/w.share
	w.start = w.finish
	q.remove(item)
	if w.position >= 0 {
		q.active.fix(w.position)
	}
}

// rateWindow is the time over which a rate is measured.
const rateWindow = 5 * time.Second

// rate counts events in two windows of time.
type rate struct {
	start   time.Time
	current int
	before  int
}

func (r *rate) add(now time.Time) {
	r.turn(now)
	r.current++
}

func (r *rate) turn(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case elapsed < rateWindow:
	case elapsed < 2*rateWindow:
		r.before, r.current = r.current, 0
		r.start = r.start.Add(rateWindow)
	default:
		r.before, r.current = 0, 0
		r.start = now
	}
}

// interval returns the mean time between events, or 0 if there were none.
func (r *rate) interval(now time.Time) time.Duration {
	r.turn(now)
	if r.before+r.current == 0 {
		return 0
	}
	return (rateWindow + now.Sub(r.start)) / time.Duration(r.before+r.current)
}

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
	// wants is the target where the chat is warm, or route.None.
	wants int
	// heldUntil is how long it waits for that target after its turn came; held
	// is set while it does.
	heldUntil time.Time
	held      bool
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
	// waiting counts all its requests in the queue, requests holds those that
	// are not held.
	waiting  int
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

// idle reports whether no request of the workspace waits or is in flight.
func (w *workspace) idle() bool {
	return w.waiting == 0 && w.inFlight == 0
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
	// held lists the requests that wait for their warm target, in the order of
	// heldUntil. Some may have been removed since.
	held []*waiting
	// wanting lists the waiting requests by the target they want.
	wanting map[int][]*waiting
}

func newQueue() *queue {
	q := &queue{waiting: map[string]*waiting{}, wanting: map[int][]*waiting{}}
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
	item.workspace.waiting++
	q.waiting[item.request.ID] = item
	q.expiring.push(item)
	q.want(item, item.wants)
	q.line(item)
}

// line puts a request into the line of its workspace.
func (q *queue) line(item *waiting) {
	w := item.workspace
	w.requests.push(item)
	if w.requests.len() == 1 {
		w.start = max(q.virtual, w.finish)
		q.active.push(w)
	}
}

func (q *queue) unline(item *waiting) {
	w := item.workspace
	w.requests.remove(item.position)
	if w.requests.len() == 0 {
		q.active.remove(w.position)
	}
}

// hold takes a request out of the line while it waits for its warm target.
func (q *queue) hold(item *waiting, until time.Time) {
	q.unline(item)
	item.held = true
	item.heldUntil = until
	q.held = append(q.held, item)
}

// resume puts held requests back into the line whose time is over.
func (q *queue) resume(now time.Time) {
	for len(q.held) > 0 && (!q.held[0].held || !now.Before(q.held[0].heldUntil)) {
		item := q.held[0]
		q.held[0] = nil
		q.held = q.held[1:]
		if item.held {
			item.held = false
			q.line(item)
		}
	}
}

// resumeFor puts the held requests back that want the target.
func (q *queue) resumeFor(target int, now time.Time) {
	for _, item := range q.wanting[target] {
		q.resumeOne(item, now)
	}
}

func (q *queue) resumeOne(item *waiting, now time.Time) {
	if item.held {
		item.held = false
		item.heldUntil = now
		q.line(item)
	}
}

// want notes which target a request wants.
func (q *queue) want(item *waiting, target int) {
	item.wants = target
	if target >= 0 {
		q.wanting[target] = append(q.wanting[target], item)
	}
}

func (q *queue) unwant(item *waiting) {
	if item.wants < 0 {
		return
	}
	list := q.wanting[item.wants]
	at := slices.Index(list, item)
	list[at] = list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(q.wanting, item.wants)
	} else {
		q.wanting[item.wants] = list[:len(list)-1]
	}
	item.wants = -1
}

// remove takes a request out without serving it.
func (q *queue) remove(item *waiting) {
	delete(q.waiting, item.request.ID)
	item.workspace.waiting--
	q.expiring.remove(item.expiry)
	q.unwant(item)
	if item.position >= 0 {
		q.unline(item)
	}
	item.held = false
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

// last returns the workspace's request that would be served last.
func (q *queue) last(w *workspace) *waiting {
	var last *waiting
	consider := func(item *waiting) {
		if last == nil || q.before(last, item) {
			last = item
		}
	}
	for _, item := range w.requests.items {
		consider(item)
	}
	for _, item := range q.held {
		if item.held && item.workspace == w {
			consider(item)
		}
	}
	return last
}

// next returns the request whose turn it is, or nil.
func (q *queue) next() *waiting {
	if q.active.len() == 0 {
		return nil
	}
	return q.active.top().requests.top()
}

// tag returns the start tag of the workspace's next request.
func (q *queue) tag(w *workspace) float64 {
	if w.position >= 0 {
		return w.start
	}
	return max(q.virtual, w.finish)
}

// serve takes a request out and charges its workspace.
func (q *queue) serve(item *waiting) {
	w := item.workspace
	tag := q.tag(w)
	least := tag
	if q.active.len() > 0 {
		least = min(least, q.active.top().start)
	}
	q.virtual = max(q.virtual, least)
	w.finish = tag + 1/w.share
	w.start = w.finish
	q.remove(item)
	if w.position >= 0 {
		q.active.fix(w.position)
	}
}

// aheadMost is how many requests a workspace of share 1 may be ahead of the
// others because their contexts are warm where there is room.
const aheadMost = 4

// warmNext returns the request that wants one of the targets with room and is
// next among those, or nil. It may be ahead of its turn by aheadMost.
func (q *queue) warmNext(hasRoom func(target int) bool) *waiting {
	var best *waiting
	for target, list := range q.wanting {
		if !hasRoom(target) {
			continue
		}
		for _, item := range list {
			if best == nil || q.before(item, best) {
				best = item
			}
		}
	}
	if best == nil || q.active.len() > 0 && q.tag(best.workspace) > q.active.top().start+aheadMost {
		return nil
	}
	return best
}

func (q *queue) before(a, b *waiting) bool {
	tagA, tagB := q.tag(a.workspace), q.tag(b.workspace)
	if tagA != tagB {
		return tagA < tagB
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.arrival < b.arrival
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

package admission

import (
	"cmp"
	"slices"
	"time"

	"comfreytiller.dev/chat"
)

// queuedRequest is one request in the queue.
type queuedRequest struct {
	request    Request
	chat       chat.Key
	arrival    uint64
	enqueuedAt time.Time
	expiresAt  time.Time
	workspace  *workspaceQueue
	// heapIndex and expiryIndex are the positions in the workspace's heap and in
	// byExpiry; heapIndex is -1 outside the heap.
	heapIndex   int
	expiryIndex int
	// warmTarget is the target where the chat is warm, or route.None.
	warmTarget int
	// deferredUntil is when the wait for the warm target ends; zero before the request
	// has been deferred. deferred is set during the wait.
	deferredUntil time.Time
	deferred      bool
}

// workspaceQueue is the queue of one workspace, with its share.
type workspaceQueue struct {
	name string
	// allowed is false if the configuration no longer lets the workspace use the
	// service.
	allowed bool
	share   float64
	// startTag and finishTag are the tags of start-time fair queueing.
	startTag  float64
	finishTag float64
	heapIndex int
	inFlight  int
	// queued counts all queued requests of the workspace; requests holds those that
	// are not deferred.
	queued       int
	requests     heap[*queuedRequest]
	dispatchRate rateCounter
}

func newWorkspaceQueue(name string) *workspaceQueue {
	w := &workspaceQueue{name: name, heapIndex: -1}
	w.requests.less = func(a, b *queuedRequest) bool {
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.arrival < b.arrival
	}
	w.requests.onMove = func(item *queuedRequest, position int) { item.heapIndex = position }
	return w
}

// idle reports whether the workspace has no queued request and none in flight.
func (w *workspaceQueue) idle() bool {
	return w.queued == 0 && w.inFlight == 0
}

// queue orders requests: between workspaces by start-time fair queueing weighted by
// share, within a workspace by priority and then by arrival.
type queue struct {
	// virtualTime is the virtual time of start-time fair queueing: the start tag of
	// the request that was served last.
	virtualTime float64
	lastArrival uint64
	byID        map[string]*queuedRequest
	active      heap[*workspaceQueue]
	byExpiry    heap[*queuedRequest]
	// deferred lists the requests that wait for their warm target, ordered by
	// deferredUntil. Some may have left the queue since.
	deferred []*queuedRequest
	// byWarmTarget lists the queued requests by their warm target.
	byWarmTarget map[int][]*queuedRequest
}

func newQueue() *queue {
	q := &queue{byID: map[string]*queuedRequest{}, byWarmTarget: map[int][]*queuedRequest{}}
	q.active.less = func(a, b *workspaceQueue) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.name < b.name
	}
	q.active.onMove = func(item *workspaceQueue, position int) { item.heapIndex = position }
	q.byExpiry.less = func(a, b *queuedRequest) bool {
		if !a.expiresAt.Equal(b.expiresAt) {
			return a.expiresAt.Before(b.expiresAt)
		}
		return a.arrival < b.arrival
	}
	q.byExpiry.onMove = func(item *queuedRequest, position int) { item.expiryIndex = position }
	return q
}

func (q *queue) len() int {
	return len(q.byID)
}

// add inserts a new request.
func (q *queue) add(item *queuedRequest) {
	q.lastArrival++
	item.arrival = q.lastArrival
	item.workspace.queued++
	q.byID[item.request.ID] = item
	q.byExpiry.push(item)
	q.setWarmTarget(item, item.warmTarget)
	q.enqueue(item)
}

// enqueue inserts a request into its workspace's heap.
func (q *queue) enqueue(item *queuedRequest) {
	w := item.workspace
	w.requests.push(item)
	if w.requests.len() == 1 {
		w.startTag = max(q.virtualTime, w.finishTag)
		q.active.push(w)
	}
}

func (q *queue) dequeue(item *queuedRequest) {
	w := item.workspace
	w.requests.remove(item.heapIndex)
	if w.requests.len() == 0 {
		q.active.remove(w.heapIndex)
	}
}

// deferUntil takes a request out of its workspace's heap while it waits for its warm
// target.
func (q *queue) deferUntil(item *queuedRequest, until time.Time) {
	q.dequeue(item)
	item.deferred = true
	item.deferredUntil = until
	q.deferred = append(q.deferred, item)
}

// resumeExpired puts the deferred requests whose wait is over back into their
// workspaces' heaps.
func (q *queue) resumeExpired(now time.Time) {
	for len(q.deferred) > 0 && (!q.deferred[0].deferred || !now.Before(q.deferred[0].deferredUntil)) {
		item := q.deferred[0]
		q.deferred[0] = nil
		q.deferred = q.deferred[1:]
		if item.deferred {
			item.deferred = false
			q.enqueue(item)
		}
	}
}

// resumeForTarget resumes the deferred requests that wait for the target.
func (q *queue) resumeForTarget(target int, now time.Time) {
	for _, item := range q.byWarmTarget[target] {
		q.resumeRequest(item, now)
	}
}

func (q *queue) resumeRequest(item *queuedRequest, now time.Time) {
	if item.deferred {
		item.deferred = false
		item.deferredUntil = now
		q.enqueue(item)
	}
}

// setWarmTarget sets the target where the request's chat is warm.
func (q *queue) setWarmTarget(item *queuedRequest, target int) {
	item.warmTarget = target
	if target >= 0 {
		q.byWarmTarget[target] = append(q.byWarmTarget[target], item)
	}
}

func (q *queue) clearWarmTarget(item *queuedRequest) {
	if item.warmTarget < 0 {
		return
	}
	list := q.byWarmTarget[item.warmTarget]
	at := slices.Index(list, item)
	list[at] = list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(q.byWarmTarget, item.warmTarget)
	} else {
		q.byWarmTarget[item.warmTarget] = list[:len(list)-1]
	}
	item.warmTarget = -1
}

// remove removes a request without serving it.
func (q *queue) remove(item *queuedRequest) {
	delete(q.byID, item.request.ID)
	item.workspace.queued--
	q.byExpiry.remove(item.expiryIndex)
	q.clearWarmTarget(item)
	if item.heapIndex >= 0 {
		q.dequeue(item)
	}
	item.deferred = false
}

// sortedByArrival returns the queued requests in order of arrival.
func (q *queue) sortedByArrival() []*queuedRequest {
	requests := make([]*queuedRequest, 0, len(q.byID))
	for _, item := range q.byID {
		requests = append(requests, item)
	}
	slices.SortFunc(requests, func(a, b *queuedRequest) int { return cmp.Compare(a.arrival, b.arrival) })
	return requests
}

// lastInOrder returns the workspace's request that would be served last.
func (q *queue) lastInOrder(w *workspaceQueue) *queuedRequest {
	var last *queuedRequest
	keepLast := func(item *queuedRequest) {
		if last == nil || q.servedBefore(last, item) {
			last = item
		}
	}
	for _, item := range w.requests.items {
		keepLast(item)
	}
	for _, item := range q.deferred {
		if item.deferred && item.workspace == w {
			keepLast(item)
		}
	}
	return last
}

// head returns the request that is next in order, or nil.
func (q *queue) head() *queuedRequest {
	if q.active.len() == 0 {
		return nil
	}
	return q.active.top().requests.top()
}

// startTag returns the start tag of the workspace's next request.
func (q *queue) startTag(w *workspaceQueue) float64 {
	if w.heapIndex >= 0 {
		return w.startTag
	}
	return max(q.virtualTime, w.finishTag)
}

// serve removes a request and charges its workspace for it.
func (q *queue) serve(item *queuedRequest) {
	w := item.workspace
	tag := q.startTag(w)
	minTag := tag
	if q.active.len() > 0 {
		minTag = min(minTag, q.active.top().startTag)
	}
	q.virtualTime = max(q.virtualTime, minTag)
	w.finishTag = tag + 1/w.share
	w.startTag = w.finishTag
	q.remove(item)
	if w.heapIndex >= 0 {
		q.active.fix(w.heapIndex)
	}
}

// maxRequestsAhead is how many requests a workspace of share 1 may be served ahead of
// its turn because a target where its chats are warm has room.
const maxRequestsAhead = 4

// nextWarm returns the first request in order whose warm target has room, or nil. The
// request may be ahead of its turn by up to maxRequestsAhead.
func (q *queue) nextWarm(hasRoom func(target int) bool) *queuedRequest {
	var best *queuedRequest
	for target, list := range q.byWarmTarget {
		if !hasRoom(target) {
			continue
		}
		for _, item := range list {
			if best == nil || q.servedBefore(item, best) {
				best = item
			}
		}
	}
	if best == nil || q.active.len() > 0 && q.startTag(best.workspace) > q.active.top().startTag+maxRequestsAhead {
		return nil
	}
	return best
}

// servedBefore reports whether a is served before b.
func (q *queue) servedBefore(a, b *queuedRequest) bool {
	tagA, tagB := q.startTag(a.workspace), q.startTag(b.workspace)
	if tagA != tagB {
		return tagA < tagB
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return a.arrival < b.arrival
}

// rateWindow is the length of one window of a rateCounter.
const rateWindow = 5 * time.Second

// rateCounter counts events in the current and the previous window.
type rateCounter struct {
	start    time.Time
	current  int
	previous int
}

func (r *rateCounter) add(now time.Time) {
	r.rotate(now)
	r.current++
}

func (r *rateCounter) rotate(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case elapsed < rateWindow:
	case elapsed < 2*rateWindow:
		r.previous, r.current = r.current, 0
		r.start = r.start.Add(rateWindow)
	default:
		r.previous, r.current = 0, 0
		r.start = now
	}
}

// meanInterval returns the mean time between events, or 0 without events.
func (r *rateCounter) meanInterval(now time.Time) time.Duration {
	r.rotate(now)
	if r.previous+r.current == 0 {
		return 0
	}
	return (rateWindow + now.Sub(r.start)) / time.Duration(r.previous+r.current)
}

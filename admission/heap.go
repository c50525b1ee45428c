package admission

// heap is a binary heap with the smallest item on top. It reports each item's position
// through onMove, so that any item can be removed.
type heap[T any] struct {
	items  []T
	less   func(a, b T) bool
	onMove func(item T, position int)
}

func (h *heap[T]) len() int {
	return len(h.items)
}

func (h *heap[T]) top() T {
	return h.items[0]
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.onMove(item, len(h.items)-1)
	h.siftUp(len(h.items) - 1)
}

// remove removes the item at the position.
func (h *heap[T]) remove(position int) {
	var zero T
	last := len(h.items) - 1
	h.swap(position, last)
	h.onMove(h.items[last], -1)
	h.items[last] = zero
	h.items = h.items[:last]
	if position < last {
		h.fix(position)
	}
}

// fix restores the heap order after the item at the position has changed.
func (h *heap[T]) fix(position int) {
	if !h.siftDown(position) {
		h.siftUp(position)
	}
}

func (h *heap[T]) siftUp(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *heap[T]) siftDown(at int) bool {
	start := at
	for {
		smallest := 2*at + 1
		if smallest >= len(h.items) {
			return at != start
		}
		if right := smallest + 1; right < len(h.items) && h.less(h.items[right], h.items[smallest]) {
			smallest = right
		}
		if !h.less(h.items[smallest], h.items[at]) {
			return at != start
		}
		h.swap(at, smallest)
		at = smallest
	}
}

func (h *heap[T]) swap(a, b int) {
	if a == b {
		return
	}
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.onMove(h.items[a], a)
	h.onMove(h.items[b], b)
}

package admission

// heap keeps the least item on top and tells each item its position, so that
// any item can be removed.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, position int)
}

func (h *heap[T]) len() int {
	return len(h.items)
}

func (h *heap[T]) top() T {
	return h.items[0]
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.moved(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove takes out the item at the position.
func (h *heap[T]) remove(position int) {
	var zero T
	last := len(h.items) - 1
	h.swap(position, last)
	h.moved(h.items[last], -1)
	h.items[last] = zero
	h.items = h.items[:last]
	if position < last {
		h.fix(position)
	}
}

// fix restores the order after the item at the position has changed.
func (h *heap[T]) fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *heap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *heap[T]) down(at int) bool {
	start := at
	for {
		least := 2*at + 1
		if least >= len(h.items) {
			return at != start
		}
		if right := least + 1; right < len(h.items) && h.less(h.items[right], h.items[least]) {
			least = right
		}
		if !h.less(h.items[least], h.items[at]) {
			return at != start
		}
		h.swap(at, least)
		at = least
	}
}

func (h *heap[T]) swap(a, b int) {
	if a == b {
		return
	}
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.moved(h.items[a], a)
	h.moved(h.items[b], b)
}

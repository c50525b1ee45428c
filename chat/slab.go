package chat

// chunkSize is the number of items allocated at once.
const chunkSize = 4096

// slab holds items at stable indexes and allocates them in chunks, so that growth
// copies nothing and wastes at most one chunk.
type slab[T any] struct {
	chunks [][]T
	free   []uint32
	size   uint32
}

// alloc returns the index of an unused item.
func (s *slab[T]) alloc() uint32 {
	if last := len(s.free) - 1; last >= 0 {
		index := s.free[last]
		s.free = s.free[:last]
		return index
	}
	if s.size%chunkSize == 0 {
		s.chunks = append(s.chunks, make([]T, chunkSize))
	}
	s.size++
	return s.size - 1
}

// release clears an item and makes it available to alloc.
func (s *slab[T]) release(index uint32) {
	var zero T
	*s.at(index) = zero
	s.free = append(s.free, index)
}

func (s *slab[T]) at(index uint32) *T {
	return &s.chunks[index/chunkSize][index%chunkSize]
}

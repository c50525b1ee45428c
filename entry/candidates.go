package entry

import (
	"github.com/cespare/xxhash/v2"

	"comfreytiller.dev/route"
)

// candidateBuffer returns memory for the description of count targets. The next decision
// uses it again, so that a request leaves no garbage of 18 KB among 204 targets. The caller
// must hold t.mu as long as it uses the buffer.
func (t *targetSelector) candidateBuffer(count int) []route.LocalTarget {
	if cap(t.candidates) < count {
		t.candidates = make([]route.LocalTarget, count)
	}
	return t.candidates[:count]
}

// nameKey returns the hash of the target's name.
func (s *targetState) nameKey() uint64 {
	if s.key == 0 {
		s.key = xxhash.Sum64String(s.Name)
	}
	return s.key
}

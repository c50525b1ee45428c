package quorum

import "sync"

// Storage keeps a replica's state. Its methods are called from one goroutine.
type Storage interface {
	// Save writes the state and the entries; they are durable on return. The
	// entries replace any stored ones from the first entry's index on.
	Save(state HardState, entries []Entry) error
	// SaveSnapshot writes the snapshot and drops the entries up to its index.
	// If the stored entry at that index has another term, the later ones are
	// dropped as well.
	SaveSnapshot(snapshot Snapshot) error
	// Load returns what was saved; an empty storage gives zero values.
	Load() (HardState, Snapshot, []Entry, error)
}

// MemoryStorage is a Storage without a disk, for tests and trial runs.
type MemoryStorage struct {
	mu       sync.Mutex
	state    HardState
	snapshot Snapshot
	entries  []Entry
	refusal  error
}

// FailWrites makes the following writes fail with the error, until it is nil.
func (s *MemoryStorage) FailWrites(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = err
}

// Save implements Storage.
func (s *MemoryStorage) Save(state HardState, entries []Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusal != nil {
		return s.refusal
	}
	s.state = state
	if len(entries) > 0 {
		s.truncate(entries[0].Index)
		s.entries = append(s.entries, entries...)
	}
	return nil
}

// SaveSnapshot implements Storage.
func (s *MemoryStorage) SaveSnapshot(snapshot Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusal != nil {
		return s.refusal
	}
	s.snapshot = snapshot
	for i, e := range s.entries {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			s.entries = append([]Entry(nil), s.entries[i+1:]...)
			return nil
		}
	}
	s.entries = nil
	return nil
}

// Load implements Storage.
func (s *MemoryStorage) Load() (HardState, Snapshot, []Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.snapshot, append([]Entry(nil), s.entries...), nil
}

// truncate drops the entries from the index on.
func (s *MemoryStorage) truncate(index uint64) {
	for i, e := range s.entries {
		if e.Index >= index {
			s.entries = s.entries[:i:i]
			return
		}
	}
}
